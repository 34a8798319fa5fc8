"""Assembles the replicas pipe from its filters."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    replica_sets,
    routes,
    session_items,
    store_items,
)
from fescueshunt.replicas import items, membership, poll, scarcity, track

if TYPE_CHECKING:
    import random

ACCEPTS = (
    routes.RoutesView,
    filters.Tick,
    store_items.EntriesListed,
    store_items.EntryChanged,
    store_items.EntryRemoved,
    session_items.UpstreamCallCompleted,
    session_items.UpstreamResponded,
    session_items.UpstreamSuspected,
    session_items.PositionLearned,
    session_items.ConfirmationRequested,
    store_items.LeaseView,
    store_items.LiveHostsView,
    store_items.KeysListed,
    store_items.KeyChanged,
    items.FormerMembersCovered,
)

EMITS = (
    items.FormerMembersCovered,
    replica_sets.ReplicaSetView,
    session_items.CallUpstream,
    session_items.LogDecision,
)


def build(rng: random.Random) -> filters.Pipe:
    """Returns the replicas pipe of a host.

    Args:
      rng: the random number generator for the jitter of status calls.
    """
    stages = (
        scarcity.ScarcityTracker(),
        membership.Membership(),
        poll.StatusPoller(rng),
        track.ReplicaSetTracker(),
    )
    return filters.Pipe(stages, ACCEPTS, EMITS)
