"""Builds the log events about failover attempts and promotions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import session_items

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fescueshunt.core import position, store_items

# The result of a promotion call by its answer.
RESULTS = {True: "accepted", False: "refused", None: "unknown"}
TIME_DIGITS = 3


def fence_completed(
    database: str,
    term: int,
    final_positions: Mapping[str, position.Position],
    now: float,
) -> session_items.LogDecision:
    """Returns an event with the final position of each fenced member."""
    details = {
        "database": database,
        "term": term,
        "positions": {
            upstream: _format(final_positions[upstream])
            for upstream in sorted(final_positions)
        },
    }
    return session_items.LogDecision(now, "fenced", "", details)


def promotion_called(
    item: store_items.CallPromotion,
) -> session_items.LogDecision:
    """Returns the event of a promotion call that is sent now."""
    details = {
        "database": item.database,
        "upstream": item.upstream,
        "token": item.token,
    }
    return session_items.LogDecision(item.at, "promotion_called", "", details)


def promotion_answered(
    item: store_items.PromotionCompleted, called_at: float | None
) -> session_items.LogDecision:
    """Returns the event of an answer to a promotion call, or of its time-out.

    Args:
      item: the answer.
      called_at: when the call was sent, or None if that is not known.
    """
    details = {
        "database": item.database,
        "upstream": item.upstream,
        "result": RESULTS[item.done],
        "detail": item.detail,
    }
    if called_at is not None:
        details["took_s"] = round(item.at - called_at, TIME_DIGITS)
    return session_items.LogDecision(item.at, "promotion_answered", "", details)


def _format(log_position: position.Position) -> str:
    return f"{log_position.term.number}.{log_position.index}"
