"""Finds connections whose call or transaction takes too long."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import session_items
from fescueshunt.sessions import pool, steps

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import filters
    from fescueshunt.sessions import pools

SLOW_THRESHOLD_S = 0.35
# A rollback needs neither a slot of the upstream nor a replica.
ROLLBACK_TIMEOUT_S = 1.0
# A client may send its next statement just as the idle timeout expires.
IDLE_MARGIN_S = 1.0


def suspect_slow_upstreams(
    pool_manager: pools.PoolManager, now: float
) -> Iterator[filters.Item]:
    """Yields a suspicion for each upstream that is slow to answer a statement.

    For a commit or a write outside a transaction, the missing reply is enough.
    For other statements, the upstream must have been silent on all connections
    since the statement was sent.
    """
    for conn in pool_manager.connections.values():
        elapsed_s = now - conn.sent_at
        # A fault in the handling of a reply can leave a job without a call.
        if (
            conn.state is not pool.ConnectionState.WORKING
            or conn.job is None
            or not conn.pending_calls
            or conn.reported_slow
            or elapsed_s < SLOW_THRESHOLD_S
        ):
            continue
        is_committing = steps.is_client_statement(
            conn.pending_calls[0]
        ) and steps.commits_changes(conn.job)
        last_reply_at = pool_manager.by_upstream[conn.upstream].last_reply_at
        if not is_committing and last_reply_at >= conn.sent_at:
            continue
        conn.reported_slow = True
        write_sent_at = conn.sent_at if is_committing else None
        yield session_items.UpstreamSuspected(
            now, conn.upstream, "slow", write_sent_at
        )


def timed_out_connections(
    pool_manager: pools.PoolManager, now: float
) -> list[pool.Connection]:
    """Returns the connections whose call was not answered by its deadline."""
    return [
        conn
        for conn in pool_manager.connections.values()
        if _is_timed_out(conn, now)
    ]


def idle_transaction_connections(
    pool_manager: pools.PoolManager, idle_timeout_s: float, now: float
) -> list[pool.Connection]:
    """Returns the connections whose transaction exceeds the idle timeout."""
    return [
        conn
        for conn in pool_manager.connections.values()
        if conn.state is pool.ConnectionState.HELD
        and now - conn.state_since > idle_timeout_s + IDLE_MARGIN_S
    ]


def _is_timed_out(conn: pool.Connection, now: float) -> bool:
    if conn.state is not pool.ConnectionState.WORKING:
        return False
    if conn.job is not None:
        return now > conn.job.answer_deadline
    if conn.control_request is not None:
        return now > conn.control_request.deadline
    return now - conn.sent_at > ROLLBACK_TIMEOUT_S
