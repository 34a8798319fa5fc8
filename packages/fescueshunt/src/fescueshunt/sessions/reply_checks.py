"""Finds replies after which a connection can't be used again.

They can't follow from their call, or report that a rollback or a reset failed.
After such a reply, the transaction of the connection is not what this host
believes. A statement that ran on the connection could then run in no
transaction, or in a wrong one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import failures, sessions

if TYPE_CHECKING:
    from fescueshunt.sessions import items, pool

DETAIL = "unexpected reply"
IDLE = sessions.TransactionState.IDLE
OPEN = sessions.TransactionState.OPEN


def must_close(
    conn: pool.Connection,
    call: sessions.UpstreamCall,
    reply: sessions.UpstreamReply,
) -> bool:
    """Returns whether the reply excludes any further use of the connection.

    A statement that fails may leave a transaction open, failed or ended.
    """
    if isinstance(call, sessions.Reset) and reply.failure is not None:
        return reply.failure not in failures.NOT_RUN
    if conn.job is None:
        is_rollback = isinstance(call, sessions.Rollback)
        has_failed = is_rollback and reply.failure is not None
        return has_failed or reply.state is not IDLE
    if reply.failure is not None:
        return False
    return reply.state is not _state_after(conn, call)


def may_have_committed(
    job: items.StatementJob | None, reply: sessions.UpstreamReply
) -> bool:
    """Returns whether the transaction that ended may have committed writes."""
    if job is None or not job.in_transaction or reply.state is not IDLE:
        return False
    return job.has_written or (job.writes and job.statement_sent)


def _state_after(
    conn: pool.Connection, call: sessions.UpstreamCall
) -> sessions.TransactionState:
    """Returns the state in which a call of a job leaves its connection."""
    job = conn.job
    match call:
        case sessions.Begin():
            is_open = True
        case sessions.RunStatement() | sessions.RunPrepared():
            is_commit = job.statement.verb is sessions.Verb.COMMIT
            is_open = job.in_transaction and not is_commit
        case _:
            is_open = conn.client is not None
    return OPEN if is_open else IDLE
