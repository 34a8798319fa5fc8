"""Runs control requests on the connections of the pools.

A control request takes an idle connection, or waits for the next one that is
opened or released.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import session_items
from fescueshunt.sessions import asks, calls, pool

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import filters
    from fescueshunt.sessions import pools


def submit(
    pool_manager: pools.PoolManager, item: session_items.CallUpstream
) -> Iterator[filters.Item]:
    """Sends a control request, or lets it wait for a connection."""
    conn_pool = pool_manager.by_upstream.get(item.upstream)
    if conn_pool is None:
        yield asks.unanswered_result(item, item.at, item.at)
        return
    idle = conn_pool.idle_connections()
    if idle:
        yield from send(idle[0], item, item.at)
        return
    conn_pool.waiting_requests.append(item)
    if not conn_pool.count(pool.ConnectionState.OPENING) and conn_pool.may_open(
        item.at
    ):
        yield pool_manager.open(conn_pool, item.at)


def send(
    conn: pool.Connection,
    control_request: session_items.CallUpstream,
    now: float,
) -> Iterator[filters.Item]:
    """Sends a control request on an idle connection."""
    conn.control_request = control_request
    yield from calls.start_calls(conn, (control_request.call,), now)


def finish(
    conn: pool.Connection, item: session_items.CallReplied
) -> Iterator[filters.Item]:
    """Yields the result of the control request that `item` replies to."""
    control_request, conn.control_request = conn.control_request, None
    yield session_items.UpstreamCallCompleted(
        item.at,
        control_request.upstream,
        control_request.call,
        conn.sent_at,
        item.reply,
    )
