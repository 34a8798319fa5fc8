"""The takeover pipe, put together."""

from __future__ import annotations

from fescueshunt.core import (
    filters,
    identity,
    process,
    replica_sets,
    session_items,
    store_items,
)
from fescueshunt.takeover import acknowledge, election, replace, vote

ACCEPTS = (
    filters.Tick,
    process.StopAsked,
    store_items.LeaseView,
    store_items.KeysListed,
    store_items.KeyChanged,
    store_items.KeyRead,
    store_items.KeyWritten,
    store_items.LiveHostsView,
    store_items.PromotionCompleted,
    session_items.UpstreamCallCompleted,
    replica_sets.ReplicaSetView,
)


def build(me: identity.Identity) -> filters.Pipe:
    """Returns the takeover pipe of the host `me`."""
    stages = (
        election.Election(me.name),
        acknowledge.Acknowledge(me.name),
        vote.Vote(me.name),
        replace.Replace(me.name),
    )
    return filters.Pipe(stages, ACCEPTS)
