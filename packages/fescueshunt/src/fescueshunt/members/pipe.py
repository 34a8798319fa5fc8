"""Builds the members pipe from its filters."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, process, views
from fescueshunt.core import items as core_items
from fescueshunt.members import items, listed, probe, publish, spread, table

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from fescueshunt.core import identity

ACCEPTS = (
    core_items.HostsRead,
    core_items.PeerReceived,
    core_items.PeerLost,
    process.StopAsked,
    filters.Tick,
    views.FleetView,
    views.SettingsView,
    items.MemberClaimed,
)

EMITS = (
    core_items.ReadHosts,
    core_items.SendPeer,
    items.MemberClaimed,
    views.FleetView,
)


def build(
    local_proxy: identity.Identity,
    rng: random.Random,
    seeds: Sequence[str] = (),
) -> filters.Pipe:
    """Returns the members pipe of the proxy `local_proxy`.

    Args:
      local_proxy: the proxy that runs the pipe.
      rng: the seeded source of random order.
      seeds: addresses of other proxies, for a start while the platform's list
        of hosts is unavailable.
    """
    stages = (
        listed.HostListReader(seeds),
        table.MembershipTable(local_proxy),
        probe.FailureDetector(local_proxy, rng),
        spread.GossipDisseminator(local_proxy),
        publish.FleetViewPublisher(local_proxy),
    )
    return filters.Pipe(stages, ACCEPTS, EMITS)
