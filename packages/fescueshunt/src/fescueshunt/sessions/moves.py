"""Estimates when the failover of a replica set to a new primary will end.

A statement that needs the new primary waits for it only if the failover is
expected to end before the statement's answer deadline. Otherwise it is rejected
at once, which serves the client better than a wait without success.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fescueshunt.core import replica_sets

# The estimate until the first failover of a replica set has ended.
INITIAL_ESTIMATE_S = 1.5
# A failover that takes longer than this multiple of the estimate may never end.
MAX_OVERRUN_FACTOR = 1.5


@dataclasses.dataclass(slots=True)
class FailoverTimes:
    """The failovers in progress, and the durations of earlier ones.

    Attributes:
      started_at: when the failover in progress started, by database; local
        clock, seconds.
      expected_s: how long the last failover took, by database; seconds.
    """

    started_at: dict[str, float] = dataclasses.field(default_factory=dict)
    expected_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def update(self, view: replica_sets.ReplicaSetView) -> bool:
        """Records the start or end of a failover; returns whether one ended."""
        started_at = self.started_at.get(view.database)
        if view.is_failing_over and started_at is None:
            self.started_at[view.database] = view.at
            return False
        if not view.is_failing_over and started_at is not None:
            del self.started_at[view.database]
            self.expected_s[view.database] = view.at - started_at
            return True
        return False

    def expected_end(self, database: str, now: float) -> float | None:
        """Returns when the failover of `database` is expected to end.

        Returns None if none is in progress, and infinity if it has exceeded
        `MAX_OVERRUN_FACTOR` times the estimate.
        """
        started_at = self.started_at.get(database)
        if started_at is None:
            return None
        expected_s = self.expected_s.get(database, INITIAL_ESTIMATE_S)
        if now - started_at > expected_s * MAX_OVERRUN_FACTOR:
            return float("inf")
        return max(started_at + expected_s, now)
