"""Builds the answers to statements that need no upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import failures, session_items, sessions

if TYPE_CHECKING:
    from fescueshunt.core import filters
    from fescueshunt.sessions import session as client_session


def success(
    session: client_session.Session,
    statement: sessions.Statement,
    now: float,
) -> filters.Item:
    """Returns the answer to a statement that succeeded."""
    answer = sessions.SessionAnswer(receipt="", state=session.state)
    return session_items.SendSessionAnswer(
        now, session.client, statement.statement_id, answer
    )


def failure(
    session: client_session.Session,
    statement: sessions.Statement,
    reason: failures.Failure,
    now: float,
    detail: str = "",
) -> filters.Item:
    """Returns the answer to a statement that failed for `reason`."""
    answer = sessions.SessionAnswer(
        failure=reason, detail=detail, state=session.state
    )
    return session_items.SendSessionAnswer(
        now, session.client, statement.statement_id, answer
    )


def refusal(
    client: int,
    statement: sessions.Statement,
    reason: failures.Failure,
    now: float,
) -> filters.Item:
    """Returns the answer to a statement of a client without a session."""
    return session_items.SendSessionAnswer(
        now,
        client,
        statement.statement_id,
        sessions.SessionAnswer(failure=reason),
    )
