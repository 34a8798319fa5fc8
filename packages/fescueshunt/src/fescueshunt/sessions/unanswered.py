"""Finds the statements that get no answer because a filter failed.

An exception in a filter drops the item that it worked on, and with it the
statement that the item was about. Such a statement can't be told from one that
still runs before its deadline. At the first tick after that, every statement
that is still queued or in flight is ended.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fescueshunt.core import session_items
    from fescueshunt.sessions import session as client_session

NEVER = float("-inf")


class UnansweredStatements:
    """The statements that were received and are not answered yet."""

    def __init__(self) -> None:
        self._received: dict[int, session_items.StatementReceived] = {}
        self._last_tick_at = NEVER

    def add(self, item: session_items.StatementReceived) -> None:
        """Adds the statement that a client has sent; it has only this one."""
        self._received[item.client] = item

    def discard(self, client: int) -> None:
        """Removes the statement of a client, if it has one."""
        self._received.pop(client, None)

    def __contains__(self, client: int) -> bool:
        return client in self._received

    def find_lost(
        self, sessions: Mapping[int, client_session.Session], now: float
    ) -> list[session_items.StatementReceived]:
        """Returns the statements that nothing will answer any more.

        Must be called at each tick.
        """
        last_tick_at, self._last_tick_at = self._last_tick_at, now
        return [
            item
            for item in self._received.values()
            if _ends_by(item, sessions[item.client]) < last_tick_at
        ]


def _ends_by(
    item: session_items.StatementReceived, session: client_session.Session
) -> float:
    """Returns when a statement ends, if no filter fails.

    A statement that needs no upstream is answered when it arrives.
    """
    if session.job is None:
        return item.at
    return max(item.at, session.job.answer_deadline)
