"""Assembles the takeover pipe from its filters."""

from __future__ import annotations

from fescueshunt.core import (
    filters,
    identity,
    process,
    replica_sets,
    session_items,
    store_items,
)
from fescueshunt.takeover import (
    acknowledge,
    election,
    member_recorder,
    replace,
    vote,
)

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

EMITS = (
    session_items.CallUpstream,
    session_items.LogDecision,
    store_items.CallPromotion,
    store_items.DutyView,
    store_items.EndLease,
    store_items.ReadKey,
    store_items.WriteKey,
)


def build(host: identity.Identity) -> filters.Pipe:
    """Returns the takeover pipe of `host`."""
    stages = (
        election.Election(host.name),
        acknowledge.Acknowledger(host.name),
        vote.Voter(host.name),
        member_recorder.MemberRecorder(),
        replace.PrimaryReplacer(host.name),
    )
    return filters.Pipe(stages, ACCEPTS, EMITS)
