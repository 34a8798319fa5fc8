"""The failover pipe, put together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, identity, items, views
from fescueshunt.failover import follow, propose, suspect, witness

if TYPE_CHECKING:
    import random

ACCEPTS = (
    items.PeerReceived,
    items.ControlReplied,
    items.ControlFailed,
    filters.Tick,
    views.SettingsView,
    views.FleetView,
    views.GroupView,
)


def build(me: identity.Identity, chance: random.Random) -> filters.Pipe:
    """Returns the failover pipe of the proxy `me`."""
    stages = (
        witness.Witness(me),
        suspect.Suspect(me),
        propose.Propose(me, chance),
        follow.Follow(me),
    )
    return filters.Pipe(stages, ACCEPTS)
