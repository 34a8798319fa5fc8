"""Builds the failover pipe from its filters."""

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

EMITS = (
    items.CallControl,
    items.SendPeer,
    views.Promotion,
)


def build(local_proxy: identity.Identity, rng: random.Random) -> filters.Pipe:
    """Returns the failover pipe of the proxy `local_proxy`.

    `rng` is the seeded source of start jitter and back-off.
    """
    stages = (
        witness.WitnessReporter(local_proxy),
        suspect.SuspicionDetector(local_proxy),
        propose.Proposer(local_proxy, rng),
        follow.FollowerReconciler(local_proxy),
    )
    return filters.Pipe(stages, ACCEPTS, EMITS)
