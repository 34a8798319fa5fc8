"""Log lines about connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import session_items

if TYPE_CHECKING:
    from fescueshunt.sessions import pool, pools


def sizes(
    kept: pools.Pools, waiting: int, now: float
) -> session_items.LogDecision:
    """Tells how many connections there are to whom, and what waits."""
    links = {
        upstream: len(one.links) for upstream, one in kept.by_upstream.items()
    }
    details = {"links": links, "waiting": waiting}
    return session_items.LogDecision(now, "pools", "", details)


def link_failed(
    kept: pool.Pool, link: pool.Link, item: session_items.LinkFailed
) -> session_items.LogDecision:
    """Tells why a connection ended, or was not opened."""
    details = {
        "upstream": link.upstream,
        "was": link.state.value,
        "error": item.error.code,
        "refusal": item.refusal.value if item.refusal else "",
        "links": len(kept.links),
        "failures": kept.reconnect.failures,
    }
    return session_items.LogDecision(item.at, "link_failed", "", details)
