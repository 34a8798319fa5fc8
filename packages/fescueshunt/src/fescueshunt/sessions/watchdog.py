"""Connections that take too long: reported, or given up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import session_items
from fescueshunt.sessions import pool, steps

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import filters
    from fescueshunt.sessions import pools

SLOW_S = 0.35
# A rollback needs no slot and no replica.
ROLLBACK_TIMEOUT_S = 1.0
# A client's pause may end just as its transaction's time does.
IDLE_MARGIN_S = 1.0


def slow(kept: pools.Pools, now: float) -> Iterator[filters.Item]:
    """Yields suspicions of upstreams that are silent on a statement."""
    for link in kept.links.values():
        slow_s = now - link.sent_at
        if link.work is None or link.suspected or slow_s < SLOW_S:
            continue
        commits = steps.is_final(link.steps[0]) and steps.commits(link.work)
        heard_at = kept.by_upstream[link.upstream].heard_at
        if not commits and heard_at >= link.sent_at:
            continue
        link.suspected = True
        since = link.sent_at if commits else None
        yield session_items.UpstreamSuspected(now, link.upstream, "slow", since)


def stuck(kept: pools.Pools, now: float) -> list[pool.Link]:
    """Returns the links whose call has no answer in its time."""
    return [link for link in kept.links.values() if _is_stuck(link, now)]


def idle_transactions(
    kept: pools.Pools, idle_s: float, now: float
) -> list[pool.Link]:
    """Returns the links whose client says nothing in its transaction."""
    return [
        link
        for link in kept.links.values()
        if link.state is pool.LinkState.HELD
        and now - link.since > idle_s + IDLE_MARGIN_S
    ]


def _is_stuck(link: pool.Link, now: float) -> bool:
    if link.state is not pool.LinkState.WORKING:
        return False
    if link.work is not None:
        return now > link.work.expire_at
    if link.ask is not None:
        return now > link.ask.deadline
    return now - link.sent_at > ROLLBACK_TIMEOUT_S
