"""Confirms the failover duty and each fence right before a promotion.

A replica that restarts after it was fenced replicates again, and a resume call
from an earlier holder of the duty may still arrive. A fence therefore counts
only if the member confirms, as the last step before the promotion, that its
fence still holds.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from fescueshunt.core import session_items, sessions, store_items

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator

    from fescueshunt.core import filters, position

CALL_TIMEOUT_S = 0.5
# The promotion must be sent within this time after the read of the duty key.
DUTY_VALID_S = 0.3


class FenceStatus(enum.Enum):
    """The state of a member's fence, as its status reports it.

    HOLDS: The member is fenced.
    LOST: The member is no longer fenced and must be fenced again.
    OVERTAKEN: The member serves the fence's term or a later one.
    UNKNOWN: There is no status, or it was requested before this round.
    """

    HOLDS = "holds"
    LOST = "lost"
    OVERTAKEN = "overtaken"
    UNKNOWN = "unknown"


class PromotionCheck:
    """One round of checks before a promotion.

    Attributes:
      started_at: When the round started, in seconds on this host's clock.
        Answers to calls that were sent earlier are ignored.
      confirmed: The final log position of each member whose fence holds.
    """

    def __init__(
        self, term: int, stepped_down: Collection[str], now: float
    ) -> None:
        self.started_at = now
        self.confirmed: dict[str, position.Position] = {}
        self._term = term
        self._stepped_down = stepped_down
        self._duty_read_sent_at: float | None = None

    def begin(self, members: Iterable[str]) -> Iterator[filters.Item]:
        """Yields a read of the duty key and a status call to each member."""
        now = self.started_at
        yield store_items.ReadKey(now, store_items.DUTY_KEY)
        for upstream in members:
            yield session_items.CallUpstream(
                now, upstream, sessions.GetStatus(), now + CALL_TIMEOUT_S
            )

    def record_duty(
        self, item: store_items.KeyRead, duty: store_items.DutyView
    ) -> bool:
        """Records a read of the duty key; returns False if the duty is lost."""
        if not item.answered or item.requested_at < self.started_at:
            return True
        if item.stored is None or item.stored.revision != duty.token:
            return False
        self._duty_read_sent_at = item.requested_at
        return True

    def record_status(
        self, item: session_items.UpstreamCallCompleted
    ) -> FenceStatus:
        """Records a member's status and returns the state of its fence."""
        status = item.reply.status if item.reply is not None else None
        if status is None or item.requested_at < self.started_at:
            return FenceStatus.UNKNOWN
        if status.term >= self._term:
            return FenceStatus.OVERTAKEN
        has_stepped_down = (
            item.upstream in self._stepped_down
            and status.role is sessions.ReplicaRole.REPLICA
        )
        if not has_stepped_down and status.paused_term != self._term:
            return FenceStatus.LOST
        self.confirmed[item.upstream] = status.received
        return FenceStatus.HOLDS

    def is_duty_confirmed(self, now: float) -> bool:
        """Returns whether the duty was confirmed within `DUTY_VALID_S`."""
        sent_at = self._duty_read_sent_at
        return sent_at is not None and now - sent_at <= DUTY_VALID_S
