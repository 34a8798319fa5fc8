"""Detects whether the primary of a replica set must be replaced, and why."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from fescueshunt.core import replica_sets, sessions

if TYPE_CHECKING:
    from fescueshunt.takeover import items

HEADLESS_DELAY_S = 0.7
# An entry that expired during a store outage is restored within two seconds.
GONE_DELAY_S = 2.5
# Votes are withdrawn so long after a replica is back and writes go on.
REPLICA_RETURN_DELAY_S = 0.5


class Cause(enum.Enum):
    """Why a primary is replaced.

    FAILING: More than half of the live hosts vote that the primary is failing,
      and it may help to replace it.
    LEAVING: The primary is draining, and a healthy listed replica is not.
    HEADLESS: No primary is known, as after an interrupted failover.
    GONE: The primary is no longer listed in the store.
    """

    FAILING = "failing"
    LEAVING = "leaving"
    HEADLESS = "headless"
    GONE = "gone"


class CauseDetector:
    """Detects a cause to replace the primary of one replica set.

    All times are in seconds on this host's clock.
    """

    def __init__(self) -> None:
        self._headless_since: float | None = None
        self._gone_since: float | None = None
        self._without_replicas_at = replica_sets.NEVER

    def detect(
        self,
        view: replica_sets.ReplicaSetView,
        failure_votes: items.FailureVotesView | None,
        now: float,
    ) -> Cause | None:
        """Returns the cause to replace the primary now, or None."""
        if not view.members:
            return None
        is_headless = not view.primary
        self._headless_since = _update_since(
            self._headless_since, is_headless, now
        )
        is_gone = not is_headless and not _is_listed(view)
        self._gone_since = _update_since(self._gone_since, is_gone, now)
        if _is_without_replicas(view):
            self._without_replicas_at = now
        if (
            failure_votes is not None
            and view.primary
            and failure_votes.primary == view.primary
            and failure_votes.is_majority
            and now - self._without_replicas_at > REPLICA_RETURN_DELAY_S
        ):
            return Cause.FAILING
        if _has_lasted(self._headless_since, now, HEADLESS_DELAY_S):
            return Cause.HEADLESS
        if _has_lasted(self._gone_since, now, GONE_DELAY_S):
            return Cause.GONE
        return Cause.LEAVING if _is_leaving(view) else None


def _update_since(
    since: float | None, is_true: bool, now: float
) -> float | None:
    if not is_true:
        return None
    return now if since is None else since


def _has_lasted(since: float | None, now: float, min_duration_s: float) -> bool:
    return since is not None and now - since > min_duration_s


def _is_listed(view: replica_sets.ReplicaSetView) -> bool:
    primary = view.member(view.primary)
    return primary is not None and primary.entry.listed


def _is_without_replicas(view: replica_sets.ReplicaSetView) -> bool:
    """Returns whether the primary leads, and no other member answers.

    Its writes fail for want of a replica then, which no promotion brings.
    """
    primary = view.member(view.primary)
    if primary is None or primary.status is None:
        return False
    leads = primary.status.role is sessions.ReplicaRole.PRIMARY
    return (
        leads
        and primary.failing_since is None
        and all(
            member.failing_since is not None
            for member in view.members
            if member.upstream != view.primary
        )
    )


def _is_leaving(view: replica_sets.ReplicaSetView) -> bool:
    primary = view.member(view.primary)
    if primary is None or not primary.entry.draining:
        return False
    return any(
        not member.entry.draining
        and member.entry.listed
        and member.failing_since is None
        for member in view.members
        if member.upstream != view.primary
    )
