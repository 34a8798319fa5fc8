"""Builds the health pipe from its filters."""

from __future__ import annotations

from fescueshunt.core import filters, homes, identity, items, views
from fescueshunt.health import poller

ACCEPTS = (
    items.ControlReplied,
    items.ControlFailed,
    filters.Tick,
    views.SettingsView,
    views.FleetView,
)

EMITS = (
    items.CallControl,
    views.GroupView,
)


def build(
    local_proxy: identity.Identity,
    assignment: homes.HomeAssignment | None = None,
) -> filters.Pipe:
    """Returns the health pipe of the proxy `local_proxy`.

    Args:
      local_proxy: the identity of this proxy.
      assignment: the policy that assigns upstreams to their home proxies;
        `homes.SingleHome` by default.
    """
    stages = (poller.StatusPoller(local_proxy, assignment),)
    return filters.Pipe(stages, ACCEPTS, EMITS)
