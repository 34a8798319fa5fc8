"""The members pipe, put together."""

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
    items.Claimed,
)


def build(
    me: identity.Identity, chance: random.Random, seeds: Sequence[str] = ()
) -> filters.Pipe:
    """Returns the members pipe of the proxy `me`.

    Args:
      me: this proxy.
      chance: the seeded source of random order.
      seeds: addresses of other proxies, for a start without the list.
    """
    stages = (
        listed.Listed(seeds),
        table.Table(me),
        probe.Probe(me, chance),
        spread.Spread(me),
        publish.Publish(me),
    )
    return filters.Pipe(stages, ACCEPTS)
