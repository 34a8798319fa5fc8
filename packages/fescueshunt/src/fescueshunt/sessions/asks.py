"""Fails the control requests that get no reply.

Control requests are calls that this host itself makes, for example to read the
replication status of an upstream. Other pipes issue them, and they run on the
connections of the sessions pipe.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import session_items

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from fescueshunt.core import filters
    from fescueshunt.sessions import pool


def unanswered_result(
    request: session_items.CallUpstream,
    sent_at: float,
    now: float,
    *,
    refused: bool = False,
    sent: bool = True,
) -> session_items.UpstreamCallCompleted:
    """Returns the result of a control request that got no reply.

    Args:
      request: the control request.
      sent_at: when it was sent, or when it arrived if it was never sent.
      now: the current time; local clock, seconds.
      refused: whether the connection was refused because another upstream
        answered at the address.
      sent: False if no connection was free although the upstream is alive.
    """
    return session_items.UpstreamCallCompleted(
        now,
        request.upstream,
        request.call,
        sent_at,
        None,
        refused,
        sent,
    )


def fail_waiting(
    conn_pool: pool.ConnectionPool, now: float
) -> Iterator[filters.Item]:
    """Fails the requests that wait for a connection that cannot be opened.

    Does nothing while the pool has another connection that may serve them.
    """
    if len(conn_pool.connections) > 1:
        return
    while conn_pool.waiting_requests:
        request = conn_pool.waiting_requests.popleft()
        yield unanswered_result(
            request,
            request.at,
            now,
            refused=conn_pool.is_wrong_upstream,
        )


def expire_waiting(
    pools: Iterable[pool.ConnectionPool], now: float
) -> Iterator[filters.Item]:
    """Fails the requests whose deadline passed before a connection was free."""
    for conn_pool in pools:
        while (
            conn_pool.waiting_requests
            and now > conn_pool.waiting_requests[0].deadline
        ):
            request = conn_pool.waiting_requests.popleft()
            is_silent = conn_pool.last_reply_at < request.at
            yield unanswered_result(request, request.at, now, sent=is_silent)
