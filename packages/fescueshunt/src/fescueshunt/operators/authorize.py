"""Filter for the access control of operators' statements.

The operator's token is verified before the statement enters the pipe.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import filters, statements
from fescueshunt.core import items as core_items

if TYPE_CHECKING:
    from collections.abc import Iterator


class Authorize(filters.Filter):
    """Refuses changes by operators whose role is read-only."""

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the answer to a refused change; other items pass through."""
        match item:
            case core_items.OperatorAsked(
                may_change=False, statement=statements.Change()
            ):
                error = errors.AccessDeniedError(
                    "the operator's role may only read"
                )
                answer = statements.OperatorAnswer(error=error)
                yield core_items.AnswerOperator(
                    item.at, item.conn, item.seq, answer
                )
            case _:
                yield item
