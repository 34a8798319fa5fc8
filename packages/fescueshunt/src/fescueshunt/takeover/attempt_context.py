"""What the parts of one failover attempt have in common."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import leadership

if TYPE_CHECKING:
    from fescueshunt.core import filters
    from fescueshunt.takeover import fence, promotion_calls, record_writer


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptContext:
    """What the parts of a failover attempt have in common.

    Attributes:
      host_name: The name of this host.
      database: The database whose primary is replaced.
      token: The fencing token under which this host holds the duty.
      old_primary: The primary before the attempt, "" if unknown.
      recorded_term: The term of the record when the attempt began.
      known_term: The highest term that was known then.
      is_leaving: Whether the primary is replaced as it is about to leave.
      calls: The promotion calls that may still take effect.
      record: Writes the leadership record.
      fence: The members that are fenced, and their final positions.
    """

    host_name: str
    database: str
    token: int
    old_primary: str
    recorded_term: int
    known_term: int
    is_leaving: bool
    calls: promotion_calls.PromotionCalls
    record: record_writer.RecordWriter
    fence: fence.Fence

    def choose_candidate(self, now: float) -> str:
        """Returns the member to promote, one called for already if possible."""
        open_targets = self.calls.open_targets(self.database, now)
        return self.fence.choose_candidate(open_targets)

    def may_promote(self, upstream: str, now: float) -> bool:
        """Returns whether a call to promote `upstream` may be sent."""
        return self.calls.may_call(self.database, upstream, now)

    def write_moving(
        self, calls: promotion_calls.Recorded, now: float
    ) -> filters.Item:
        """Returns a write of the record: the primary is being replaced."""
        record = leadership.Record(
            leadership.Phase.MOVING,
            self.old_primary,
            self.recorded_term,
            calls=calls,
        )
        return self.record.write(record, now)

    def write_steady(
        self,
        primary: str,
        term: int,
        calls: promotion_calls.Recorded,
        now: float,
    ) -> filters.Item:
        """Returns a write of the record: `primary` leads."""
        record = leadership.Record(
            leadership.Phase.STEADY,
            primary,
            max(term, self.known_term),
            calls=calls,
        )
        return self.record.write(record, now)
