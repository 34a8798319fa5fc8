"""Kinds of lent calls, and the log event about what a host lends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import session_items, sessions

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fescueshunt.lending import loan_pool


def summary(
    pools: Mapping[str, loan_pool.LoanPool], now: float
) -> session_items.LogDecision:
    """Returns an event with what this host lends, by upstream."""
    details = {
        upstream: {
            "connections": len(pool.connections),
            "active": pool.active_count(now),
            "waiting": len(pool),
            "limit": round(pool.learned.limit, 1),
            "stretch": round(pool.learned.stretch, 2),
            "wait_s": round(pool.recent_wait_s, 4),
        }
        for upstream, pool in pools.items()
    }
    return session_items.LogDecision(now, "loans", "", details)


def is_statement(call: sessions.UpstreamCall) -> bool:
    """Returns whether a call does a statement's work."""
    return isinstance(call, sessions.RunStatement | sessions.RunPrepared)


def kind(
    loan: loan_pool.Loan, call: sessions.RunStatement | sessions.RunPrepared
) -> tuple[int, bool]:
    """Returns under which kind the time of a call is averaged."""
    reads = isinstance(call, sessions.RunPrepared)
    if isinstance(call, sessions.RunStatement):
        reads = call.statement.verb is sessions.Verb.READ
    return loan.kind, reads
