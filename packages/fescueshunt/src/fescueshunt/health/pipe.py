"""The health pipe, put together."""

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


def build(
    me: identity.Identity, placed: homes.HomeAssignment | None = None
) -> filters.Pipe:
    """Returns the health pipe of the proxy `me`."""
    stages = (poller.StatusPoller(me, placed),)
    return filters.Pipe(stages, ACCEPTS)
