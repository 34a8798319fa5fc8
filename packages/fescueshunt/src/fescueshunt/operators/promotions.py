"""Filter that lists and explains the promotions made by this proxy."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import filters, queries, statements, views

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import position

MAX_PROMOTIONS = 256
SECONDS_DECIMALS = 3
COLUMNS = (
    "database",
    "term",
    "proposer",
    "primary",
    "previous",
    "cause",
    "witnesses",
    "reason",
    "attempts",
    "took_s",
    "ago_s",
)
STEP_COLUMNS = ("step", "facts")
Row = tuple[statements.Value, ...]


class PromotionHistory(filters.Filter):
    """Records the newest promotions and answers statements about them."""

    def __init__(self) -> None:
        self._promotions: collections.deque[views.Promotion] = (
            collections.deque(maxlen=MAX_PROMOTIONS)
        )

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields answers to SHOW PROMOTIONS and EXPLAIN PROMOTION.

        Promotions are recorded; other items pass through.
        """
        match item:
            case views.Promotion():
                self._promotions.append(item)
            case queries.LocalQuery(
                statement=statements.Show(subject=statements.Subject.PROMOTIONS)
            ):
                yield _reply_to(item, self._list(item.at))
            case queries.LocalQuery(
                statement=statements.Explain(event=statements.Event.PROMOTION)
            ):
                yield _reply_to(item, self._explain(item.statement.name))
            case _:
                yield item

    def _list(self, now: float) -> statements.OperatorAnswer:
        rows = tuple(
            _row(promotion, now) for promotion in reversed(self._promotions)
        )
        return statements.OperatorAnswer(statements.Table(COLUMNS, rows))

    def _explain(self, database: str) -> statements.OperatorAnswer:
        for promotion in reversed(self._promotions):
            if promotion.database == database:
                table = statements.Table(
                    STEP_COLUMNS, tuple(_step_rows(promotion))
                )
                return statements.OperatorAnswer(table)
        error = errors.RequestInvalidError(
            f"no promotion of {database} is recorded; see SHOW PROMOTIONS"
        )
        return statements.OperatorAnswer(error=error)


def _reply_to(
    query: queries.LocalQuery, answer: statements.OperatorAnswer
) -> queries.LocalReply:
    return queries.LocalReply(query.at, query.number, answer)


def _row(promotion: views.Promotion, now: float) -> Row:
    return (
        promotion.database,
        promotion.term.number,
        promotion.term.proposer,
        promotion.primary,
        promotion.previous,
        promotion.cause.value,
        ", ".join(promotion.witnesses),
        promotion.reason.value,
        promotion.attempts,
        round(promotion.at - promotion.suspected_at, SECONDS_DECIMALS),
        round(now - promotion.at, SECONDS_DECIMALS),
    )


def _step_rows(promotion: views.Promotion) -> Iterator[Row]:
    previous = promotion.previous or "no primary"
    yield (
        "suspected",
        f"{previous} of term {promotion.previous_term.number} "
        f"{promotion.cause.value}, "
        f"on the reports of {', '.join(promotion.witnesses)}",
    )
    term = promotion.term
    yield (
        "ballot",
        f"{term.number} by {term.proposer}, attempt {promotion.attempts}",
    )
    for vote in promotion.votes:
        yield (
            "promise",
            f"{vote.upstream}, whose log ended at "
            f"{_format_position(vote.last)}",
        )
    for name in promotion.refused:
        yield ("refusal", name)
    for name in promotion.silent:
        yield ("no answer", name)
    took_s = promotion.at - promotion.suspected_at
    yield ("choice", f"{promotion.primary}, by {promotion.reason.value}")
    yield (
        "promoted",
        f"{promotion.primary} as primary of term {term.number}, {took_s:.3f} s "
        "after the suspicion",
    )


def _format_position(log_end: position.Position) -> str:
    return f"{log_end.index} of term {log_end.term.number}"
