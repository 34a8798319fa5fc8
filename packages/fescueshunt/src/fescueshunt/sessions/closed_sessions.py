"""Refuses the statements of sessions that this host has closed.

What a client has sent before it sees the end of its connection is read, so that
it gets an answer, but it is not run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import failures, sessions
from fescueshunt.sessions import answers

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import filters, session_items
    from fescueshunt.sessions import session as client_session


class ClosedSessions:
    """The closed sessions whose clients are still connected."""

    def __init__(self) -> None:
        self._failures: dict[int, failures.Failure] = {}

    def add(self, session: client_session.Session) -> None:
        """Adds a session that is closed in its present state."""
        is_idle = session.state is sessions.TransactionState.IDLE
        self._failures[session.client] = (
            failures.Failure.BUSY if is_idle else failures.Failure.ABORTED
        )

    def discard(self, client: int) -> None:
        """Removes the session of a client that has disconnected."""
        self._failures.pop(client, None)

    def refuse(
        self, item: session_items.StatementReceived
    ) -> Iterator[filters.Item]:
        """Yields the refusal of a statement if its session was closed."""
        failure = self._failures.get(item.client)
        if failure is not None:
            yield answers.refusal(item.client, item.statement, failure, item.at)
