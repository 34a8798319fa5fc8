"""What is confirmed right before a promotion: the duty, and each fence.

A replica that restarts after it was fenced receives again, and an earlier
holder's call to resume may still arrive. So a fence counts only if the member
says, after everything else is settled, that it still holds.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from fescueshunt.core import session_items, sessions, store_items

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from fescueshunt.core import filters, position
    from fescueshunt.takeover import items

CALL_TIMEOUT_S = 0.5
# The promotion must be sent this soon after the check of the duty was sent.
VALID_S = 0.3


class Finding(enum.Enum):
    """What a member's status tells of its fence."""

    HOLDS = "holds"
    LOST = "lost"
    OVERTAKEN = "overtaken"
    UNKNOWN = "unknown"


class Check:
    """One round of confirmations.

    Attributes:
      begun_at: what was asked for before doesn't count.
      confirmed: the final position of each member whose fence holds.
    """

    def __init__(self, term: int, old_primary: str, now: float) -> None:
        self.begun_at = now
        self.confirmed: dict[str, position.Position] = {}
        self._term = term
        self._old_primary = old_primary
        self._duty_asked_at: float | None = None

    def begin(self, members: Iterable[str]) -> Iterator[filters.Item]:
        """Yields the calls."""
        now = self.begun_at
        yield store_items.ReadKey(now, store_items.DUTY_KEY)
        for upstream in members:
            yield session_items.CallUpstream(
                now, upstream, sessions.GetStatus(), now + CALL_TIMEOUT_S
            )

    def see_duty(self, item: store_items.KeyRead, duty: items.DutyView) -> bool:
        """Notes the duty's key; False if another host has the duty."""
        if not item.answered or item.requested_at < self.begun_at:
            return True
        if item.stored is None or item.stored.revision != duty.token:
            return False
        self._duty_asked_at = item.requested_at
        return True

    def see_status(self, item: session_items.UpstreamCallCompleted) -> Finding:
        """Notes a member's status."""
        status = item.reply.status if item.reply is not None else None
        if status is None or item.requested_at < self.begun_at:
            return Finding.UNKNOWN
        if status.term >= self._term:
            return Finding.OVERTAKEN
        stepped_down = (
            item.upstream == self._old_primary
            and status.role is sessions.ReplicaRole.REPLICA
        )
        if not stepped_down and status.paused_term != self._term:
            return Finding.LOST
        self.confirmed[item.upstream] = status.received
        return Finding.HOLDS

    def is_duty_confirmed(self, now: float) -> bool:
        """Tells whether the duty was held a moment ago."""
        requested_at = self._duty_asked_at
        return requested_at is not None and now - requested_at <= VALID_S
