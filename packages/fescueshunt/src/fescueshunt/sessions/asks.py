"""Calls of our own to upstreams that got no answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import session_items

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from fescueshunt.core import filters
    from fescueshunt.sessions import pool


def unanswered(
    ask: session_items.CallUpstream,
    sent_at: float,
    now: float,
    *,
    refused: bool = False,
    sent: bool = True,
) -> session_items.UpstreamCallCompleted:
    """Returns the news that `ask` has no answer."""
    return session_items.UpstreamCallCompleted(
        now, ask.upstream, ask.call, sent_at, None, refused, sent
    )


def fail(kept: pool.Pool, now: float) -> Iterator[filters.Item]:
    """Ends the calls that wait for a connection that can't be had."""
    if len(kept.links) > 1:
        return
    while kept.asks:
        ask = kept.asks.popleft()
        yield unanswered(ask, ask.at, now, refused=kept.refused)


def expire(
    kept_pools: Iterable[pool.Pool], now: float
) -> Iterator[filters.Item]:
    """Ends the calls that waited for a connection until their deadline."""
    for kept in kept_pools:
        while kept.asks and now > kept.asks[0].deadline:
            ask = kept.asks.popleft()
            silent = kept.heard_at < ask.at
            yield unanswered(ask, ask.at, now, sent=silent)
