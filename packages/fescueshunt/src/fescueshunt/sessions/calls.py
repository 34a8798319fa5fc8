"""Sends the calls of a connection one after another, and reports replies."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from fescueshunt.core import session_items, sessions
from fescueshunt.sessions import pool, steps

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from fescueshunt.core import filters


def start_calls(
    conn: pool.Connection,
    calls: Iterable[sessions.UpstreamCall],
    now: float,
) -> Iterator[filters.Item]:
    """Sends the first call; each reply triggers the next one."""
    conn.pending_calls = collections.deque(calls)
    conn.set_state(pool.ConnectionState.WORKING, now)
    yield from send_next(conn, now)


def send_next(conn: pool.Connection, now: float) -> Iterator[filters.Item]:
    """Sends the first of the pending calls."""
    call = conn.pending_calls[0]
    conn.sent_at = now
    conn.reported_slow = False
    if conn.job is not None and steps.is_client_statement(call):
        conn.job.statement_sent = True
    yield session_items.SendCall(now, conn.number, call)


def roll_back(
    conn: pool.Connection,
    now: float,
    statement: sessions.Statement | None = None,
) -> Iterator[filters.Item]:
    """Rolls back the transaction that is open on a connection.

    `statement` is the client's rollback statement, if it sent one.
    """
    yield from start_calls(conn, (sessions.Rollback(statement),), now)


def report_reply(
    conn_pool: pool.ConnectionPool,
    conn: pool.Connection,
    call: sessions.UpstreamCall,
    item: session_items.CallReplied,
) -> Iterator[filters.Item]:
    """Reports a reply to the other pipes, if it is due or confirms a write."""
    wrote = steps.is_client_statement(call) and steps.commits_changes(conn.job)
    if conn_pool.record_reply(item.at) or wrote:
        yield session_items.UpstreamResponded(
            item.at, conn.upstream, conn.sent_at, item.reply.applied, wrote
        )
