"""Builds the log events about connections, statements and the stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import process, session_items, sessions
from fescueshunt.sessions import items

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Mapping

    from fescueshunt.sessions import pool, pools
    from fescueshunt.sessions import session as client_session

# Longer texts of clients are cut in logs.
MAX_LOGGED_CHARS = 80
# The names of the events by the step of a graceful stop.
STOP_EVENTS = {
    items.StopStarted: "stop_started",
    session_items.StopListening: "stop_draining",
    process.Stopped: "stop_completed",
}


def pool_sizes(
    pool_manager: pools.PoolManager,
    waiting: int,
    completed_calls: Mapping[str, int],
    now: float,
) -> session_items.LogDecision:
    """Returns an event with the size of each pool and of the queue.

    Args:
      pool_manager: the pools.
      waiting: the number of statements in the queue.
      completed_calls: how many calls have succeeded, by their type.
      now: the current time; local clock, seconds.
    """
    connections = {
        upstream: len(conn_pool.connections)
        for upstream, conn_pool in pool_manager.by_upstream.items()
    }
    details = {
        "links": connections,
        "waiting": waiting,
        "calls": dict(completed_calls),
    }
    return session_items.LogDecision(now, "pools", "", details)


def setup_call_replied(
    conn: pool.Connection,
    call: sessions.UpstreamCall,
    item: session_items.CallReplied,
) -> Iterator[session_items.LogDecision]:
    """Yields the events of a reply to a call that sets up a connection.

    Each statement that is prepared has an event, so that its name at the
    upstream can be told, and each call that failed.
    """
    failure = item.reply.failure
    if failure is None and not isinstance(call, sessions.Prepare):
        return
    details = {"upstream": conn.upstream, "connection": conn.number}
    if isinstance(call, sessions.Prepare):
        details["name"] = call.name
        details["writes"] = call.prepared.writes
        details["shape"] = call.prepared.shape[:MAX_LOGGED_CHARS]
    event = "statement_prepared"
    if failure is not None:
        event = "setup_failed"
        details["call"] = type(call).__name__
        details["outcome"] = failure.value
        details["why"] = item.reply.detail[:MAX_LOGGED_CHARS]
    yield session_items.LogDecision(item.at, event, "", details)


def connection_failed(
    conn_pool: pool.ConnectionPool,
    conn: pool.Connection,
    item: session_items.ConnectionFailed,
) -> session_items.LogDecision:
    """Returns an event with the reason why a connection failed."""
    details = {
        "upstream": conn.upstream,
        "was": conn.state.value,
        "error": item.error.code,
        "refusal": item.refusal.value if item.refusal else "",
        "links": len(conn_pool.connections),
        "failures": conn_pool.reconnect.failures,
    }
    return session_items.LogDecision(item.at, "link_failed", "", details)


def unexpected_reply(
    conn: pool.Connection,
    call: sessions.UpstreamCall | None,
    item: session_items.CallReplied,
) -> session_items.LogDecision:
    """Returns the event of a reply that closes its connection.

    `call` is the call that it replies to, or None if none was in flight.
    """
    reply = item.reply
    details = {
        "upstream": conn.upstream,
        "connection": conn.number,
        "call": type(call).__name__ if call else "",
        "was": conn.state.value,
        "state": reply.state.value,
        "failure": reply.failure.value if reply.failure else "",
    }
    return session_items.LogDecision(item.at, "unexpected_reply", "", details)


def statement_failed(item: items.JobFinished) -> session_items.LogDecision:
    """Returns the event of a statement that failed."""
    job = item.job
    details = {
        "outcome": item.failure.value,
        "why": item.detail,
        "route": job.route.name,
        "database": job.route.database,
        "verb": job.statement.verb.value,
        "in_transaction": job.in_transaction,
        "upstream": item.upstream,
        "tries": job.attempts,
        "sent": job.statement_sent,
        "took_s": round(item.at - job.arrived_at, 4),
    }
    return session_items.LogDecision(
        item.at, "statement_failed", job.statement.statement_id, details
    )


def key_refused(
    route: str, now: float, statement: sessions.Statement | None = None
) -> session_items.LogDecision:
    """Returns the event of a client whose key no account holds.

    Args:
      route: the route that the client asked for.
      now: the current time; local clock, seconds.
      statement: the statement that was refused; None for a session.
    """
    statement_id = statement.statement_id if statement else ""
    return session_items.LogDecision(
        now, "key_refused", statement_id, {"route": route[:MAX_LOGGED_CHARS]}
    )


def client_dropped(
    item: session_items.ClientDropped,
) -> session_items.LogDecision:
    """Returns the event of a client whose connection this host ends."""
    details = {
        "reason": item.reason.value,
        "address": item.address,
        "held_bytes": item.held_bytes,
    }
    return session_items.LogDecision(item.at, "client_dropped", "", details)


def statement_lost(
    item: session_items.StatementReceived, now: float
) -> session_items.LogDecision:
    """Returns the event of a statement that got no answer in time."""
    statement = item.statement
    details = {
        "verb": statement.verb.value,
        "took_s": round(now - item.at, 4),
    }
    return session_items.LogDecision(
        now, "statement_lost", statement.statement_id, details
    )


def stop_progress(
    event: str,
    open_sessions: Collection[client_session.Session],
    elapsed_s: float,
    now: float,
) -> session_items.LogDecision:
    """Returns an event with the sessions that a graceful stop still has.

    Args:
      event: the name of the event.
      open_sessions: the sessions that are open.
      elapsed_s: the time since the stop started; seconds.
      now: the current time; local clock, seconds.
    """
    idle = sessions.TransactionState.IDLE
    details = {
        "elapsed_s": round(elapsed_s, 4),
        "sessions": len(open_sessions),
        "in_flight": sum(each.job is not None for each in open_sessions),
        "in_transaction": sum(each.state is not idle for each in open_sessions),
    }
    return session_items.LogDecision(now, event, "", details)
