"""Runs the statements that need no upstream, and answers them.

They begin or end a transaction, or change the values and prepared statements of
a session.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import failures, sessions
from fescueshunt.sessions import answers, items, settings_limits

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import filters, routes
    from fescueshunt.sessions import session as client_session

IDLE = sessions.TransactionState.IDLE
OPEN = sessions.TransactionState.OPEN


def begin_transaction(
    session: client_session.Session,
    statement: sessions.Statement,
    route: routes.Route | None,
    account: str,
    now: float,
    *,
    is_draining: bool,
) -> filters.Item:
    """Begins a transaction of `account` that runs under `route`.

    Refuses it if this host is draining.
    """
    if session.state is OPEN:
        return answers.failure(
            session, statement, failures.Failure.INVALID, now
        )
    if is_draining:
        # It may take longer than this host still runs.
        return answers.failure(session, statement, failures.Failure.BUSY, now)
    session.state = OPEN
    session.begin_statement = statement
    session.began_at = now
    session.transaction_route = route
    session.transaction_account = account
    session.read_only = statement.read_only
    session.begun_upstream = False
    session.has_written = False
    return answers.success(session, statement, now)


def roll_back(
    session: client_session.Session,
    statement: sessions.Statement,
    now: float,
) -> Iterator[filters.Item]:
    """Rolls back the transaction, also at its upstream if it began there."""
    if session.begun_upstream:
        yield items.RollBackTransaction(now, session.client, statement)
    session.state = IDLE
    session.begun_upstream = False
    yield answers.success(session, statement, now)


def set_value(
    session: client_session.Session,
    statement: sessions.Statement,
    limits: settings_limits.SettingsLimits,
    now: float,
) -> filters.Item:
    """Sets a session value, unless the session has too many."""
    name, value = statement.name, statement.argument
    refusal = limits.try_add_value(session, name, value)
    if refusal is not None:
        return _refuse(session, statement, refusal, now)
    session.values[name] = value
    return answers.success(session, statement, now)


def prepare(
    session: client_session.Session,
    statement: sessions.Statement,
    limits: settings_limits.SettingsLimits,
    now: float,
) -> filters.Item:
    """Prepares a statement in the session, unless it has too many."""
    prepared = sessions.Prepared(statement.writes, statement.shape)
    refusal = limits.try_add_prepared(session, statement.name, prepared)
    if refusal is not None:
        return _refuse(session, statement, refusal, now)
    session.prepared[statement.name] = prepared
    return answers.success(session, statement, now)


def deallocate(
    session: client_session.Session,
    statement: sessions.Statement,
    limits: settings_limits.SettingsLimits,
    now: float,
) -> filters.Item:
    """Removes a prepared statement from the session."""
    prepared = session.prepared.pop(statement.name, None)
    if prepared is None:
        failure = failures.Failure.NO_STATEMENT
        return answers.failure(session, statement, failure, now)
    limits.remove_prepared(session.client, statement.name, prepared)
    return answers.success(session, statement, now)


def _refuse(
    session: client_session.Session,
    statement: sessions.Statement,
    refusal: settings_limits.Refusal,
    now: float,
) -> filters.Item:
    """Returns the answer to a statement that the session has no room for."""
    return answers.failure(
        session, statement, refusal.failure, now, refusal.detail
    )


def answer_in_failed_transaction(
    session: client_session.Session,
    statement: sessions.Statement,
    now: float,
) -> Iterator[filters.Item]:
    """Accepts only the end of the transaction; fails other statements."""
    match statement.verb:
        case sessions.Verb.ROLLBACK:
            session.state = IDLE
            yield answers.success(session, statement, now)
        case sessions.Verb.COMMIT:
            session.state = IDLE
            yield answers.failure(
                session, statement, failures.Failure.ABORTED, now
            )
        case _:
            yield answers.failure(
                session, statement, failures.Failure.INVALID, now
            )
