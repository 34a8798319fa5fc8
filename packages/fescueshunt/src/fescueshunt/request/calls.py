"""Builds the upstream calls of writes and transactions.

The timeout of a call never exceeds the time left until the deadline.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import items as core_items
from fescueshunt.core import position, request, upstream

if TYPE_CHECKING:
    from fescueshunt.request import items

MAX_CALL_TIMEOUT_S = 2.0


def build_execute(
    now: float,
    conn: int,
    work: items.Work,
    mode: upstream.Mode,
    term: position.Term,
    statements: tuple[request.Statement, ...],
) -> core_items.RunUpstream:
    """Returns the effect that runs `statements` for `work` on `conn`.

    The upstream runs them only if it is the primary of `term`.
    """
    remaining_s = max(work.deadline - now, 0.0)
    return core_items.RunUpstream(
        now,
        conn,
        upstream.Execute(mode, term, statements),
        min(remaining_s, MAX_CALL_TIMEOUT_S),
        work.req.request_id,
    )
