"""Plans the calls that run a client's statement on a connection."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from fescueshunt.core import connection_settings, position, sessions

if TYPE_CHECKING:
    from fescueshunt.sessions import items, pool

# A connection that has so many prepared statements is reset before the next one
# is prepared on it, but not inside a transaction.
MAX_PREPARED_PER_CONNECTION = 256


def plan_calls(
    job: items.StatementJob,
    conn: pool.Connection,
    min_position: position.Position | None,
) -> collections.deque[sessions.UpstreamCall]:
    """Returns the calls to send in order; the client's statement is the last.

    Session values, and the prepared statement to run, are set up only if the
    connection does not have them yet. `min_position` is the log position that
    the upstream must have applied; None if there is no minimum.
    """
    calls: collections.deque[sessions.UpstreamCall] = collections.deque()
    setup = _plan_setup(job, conn)
    if setup.resets:
        calls.append(sessions.Reset())
    for name, value in setup.values.items():
        calls.append(sessions.SetValue(name, value))
    if setup.prepares:
        calls.append(sessions.Prepare(job.prepared.name, job.prepared))
    if job.begin_statement is not None:
        calls.append(sessions.Begin(job.begin_statement, min_position))
        min_position = None
    calls.append(_statement_call(job, min_position))
    return calls


def setup_call_count(job: items.StatementJob, conn: pool.Connection) -> int:
    """Returns the number of calls that set the connection up for `job`."""
    return _plan_setup(job, conn).call_count


def _plan_setup(
    job: items.StatementJob, conn: pool.Connection
) -> connection_settings.Setup:
    prepared = "" if job.prepared is None else job.prepared.name
    return conn.settings.plan_setup(
        job.settings.values,
        prepared,
        must_reset=_exceeds_prepared_limit(job, conn),
    )


def _exceeds_prepared_limit(
    job: items.StatementJob, conn: pool.Connection
) -> bool:
    """Returns whether `conn` is too full for the prepared statement."""
    if (
        job.prepared is None
        or conn.client is not None
        or len(conn.settings.prepared) < MAX_PREPARED_PER_CONNECTION
    ):
        return False
    return job.prepared.name not in conn.settings.prepared


def is_client_statement(call: sessions.UpstreamCall) -> bool:
    """Returns whether `call` runs the client's statement itself."""
    return isinstance(call, sessions.RunStatement | sessions.RunPrepared)


def commits_changes(job: items.StatementJob | None) -> bool:
    """Returns whether `job` commits a change that a replica must receive."""
    if job is None:
        return False
    if not job.in_transaction:
        return job.writes
    return job.statement.verb is sessions.Verb.COMMIT and job.has_written


def _statement_call(
    job: items.StatementJob, min_position: position.Position | None
) -> sessions.UpstreamCall:
    if job.prepared is None:
        return sessions.RunStatement(job.statement, min_position)
    return sessions.RunPrepared(job.statement, job.prepared.name, min_position)
