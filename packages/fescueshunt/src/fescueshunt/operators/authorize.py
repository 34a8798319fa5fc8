"""Access: who may do what. The border has checked the operator's token."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import filters, statements
from fescueshunt.core import items as core_items

if TYPE_CHECKING:
    from collections.abc import Iterator


class Authorize(filters.Filter):
    """Refuses changes by operators whose role is to read."""

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields refusals; what is allowed passes on."""
        match item:
            case core_items.OperatorAsked(
                may_change=False, statement=statements.Change()
            ):
                error = errors.AccessDeniedError("the role is to read")
                answer = statements.OperatorAnswer(error=error)
                yield core_items.AnswerOperator(
                    item.at, item.conn, item.seq, answer
                )
            case _:
                yield item
