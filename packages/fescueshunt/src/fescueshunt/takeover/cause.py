"""Whether the primary of a replica set has to be replaced, and why."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from fescueshunt.core import replica_sets, sessions

if TYPE_CHECKING:
    from fescueshunt.takeover import items

HEADLESS_AFTER_S = 0.7
STALLED_AFTER_S = 1.5
FRESH_S = 1.0


class Cause(enum.Enum):
    """Why a primary is replaced.

    FAILING: most hosts find it so. LEAVING: it is leaving, and a replica that
    stays has its log. HEADLESS: no member leads. STALLED: it has commits that
    no replica receives.
    """

    FAILING = "failing"
    LEAVING = "leaving"
    HEADLESS = "headless"
    STALLED = "stalled"


class Observer:
    """Watches one replica set for a cause; times by this host's clock."""

    def __init__(self) -> None:
        self._headless_since: float | None = None
        self._stalled_since: float | None = None
        self._awaited: replica_sets.Sample | None = None

    def find(
        self,
        view: replica_sets.ReplicaSetView,
        findings: items.FindingsView | None,
        now: float,
    ) -> Cause | None:
        """Returns a cause that holds now, or None."""
        if not view.members:
            return None
        self._note(view, now)
        if (
            findings is not None
            and view.primary
            and findings.primary == view.primary
            and findings.is_majority
        ):
            return Cause.FAILING
        if _lasted(self._headless_since, now, HEADLESS_AFTER_S):
            return Cause.HEADLESS
        if _lasted(self._stalled_since, now, STALLED_AFTER_S):
            return Cause.STALLED
        if _is_leaving(view):
            return Cause.LEAVING
        return None

    def _note(self, view: replica_sets.ReplicaSetView, now: float) -> None:
        is_headless = not view.primary and _heard(view, now) * 2 > len(
            view.members
        )
        self._headless_since = _since(self._headless_since, is_headless, now)
        self._note_progress(view, now)

    def _note_progress(
        self, view: replica_sets.ReplicaSetView, now: float
    ) -> None:
        """Follows one position of the primary until a replica has it."""
        primary = view.member(view.primary)
        heard = [
            member
            for member in _replicas(view)
            if member.standing is not None and now - member.asked_at < FRESH_S
        ]
        if primary is None or primary.standing is None or not heard:
            self._awaited = None
            return
        received = max(member.standing.received for member in heard)
        if self._awaited is None or received >= self._awaited.end:
            self._awaited = replica_sets.Sample(
                primary.asked_at, primary.standing.received
            )
        asked_at = min(member.asked_at for member in heard)
        self._stalled_since = (
            self._awaited.at
            if received < self._awaited.end and asked_at > self._awaited.at
            else None
        )


def _since(before: float | None, holds: bool, now: float) -> float | None:
    if not holds:
        return None
    return now if before is None else before


def _lasted(since: float | None, now: float, least_s: float) -> bool:
    return since is not None and now - since > least_s


def _heard(view: replica_sets.ReplicaSetView, now: float) -> int:
    return sum(now - member.asked_at < FRESH_S for member in view.members)


def _replicas(
    view: replica_sets.ReplicaSetView,
) -> list[replica_sets.MemberView]:
    return [m for m in view.members if m.upstream != view.primary]


def _is_leaving(view: replica_sets.ReplicaSetView) -> bool:
    primary = view.member(view.primary)
    if primary is None or not primary.entry.draining:
        return False
    if primary.standing is None:
        return False
    return any(
        _could_lead(member, primary.standing) for member in _replicas(view)
    )


def _could_lead(
    member: replica_sets.MemberView, primary: sessions.Standing
) -> bool:
    return (
        not member.entry.draining
        and member.entry.listed
        and member.failing_since is None
        and member.standing is not None
        and member.standing.term == primary.term
    )
