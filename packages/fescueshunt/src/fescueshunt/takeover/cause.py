"""Whether the primary of a replica set has to be replaced, and why."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fescueshunt.core import replica_sets
    from fescueshunt.takeover import items

HEADLESS_AFTER_S = 0.7
# An entry that lapsed while the store was away is back in two seconds.
GONE_AFTER_S = 2.5


class Cause(enum.Enum):
    """Why a primary is replaced.

    FAILING: most hosts find it so. LEAVING: it is leaving, and a replica
    stays. HEADLESS: nobody leads, as after a move that ended halfway. GONE:
    the primary is no longer listed.
    """

    FAILING = "failing"
    LEAVING = "leaving"
    HEADLESS = "headless"
    GONE = "gone"


class Observer:
    """Watches one replica set for a cause; times by this host's clock."""

    def __init__(self) -> None:
        self._headless_since: float | None = None
        self._gone_since: float | None = None

    def find(
        self,
        view: replica_sets.ReplicaSetView,
        findings: items.FindingsView | None,
        now: float,
    ) -> Cause | None:
        """Returns a cause that holds now, or None."""
        if not view.members:
            return None
        headless = not view.primary
        self._headless_since = _since(self._headless_since, headless, now)
        gone = not headless and not _is_listed(view)
        self._gone_since = _since(self._gone_since, gone, now)
        if (
            findings is not None
            and view.primary
            and findings.primary == view.primary
            and findings.is_majority
        ):
            return Cause.FAILING
        if _lasted(self._headless_since, now, HEADLESS_AFTER_S):
            return Cause.HEADLESS
        if _lasted(self._gone_since, now, GONE_AFTER_S):
            return Cause.GONE
        return Cause.LEAVING if _is_leaving(view) else None


def _since(before: float | None, holds: bool, now: float) -> float | None:
    if not holds:
        return None
    return now if before is None else before


def _lasted(since: float | None, now: float, least_s: float) -> bool:
    return since is not None and now - since > least_s


def _is_listed(view: replica_sets.ReplicaSetView) -> bool:
    primary = view.member(view.primary)
    return primary is not None and primary.entry.listed


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
