"""Promotions: what was replaced, on whose word, and how it was decided."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import filters, queries, statements, views

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import position

MAX_PROMOTIONS = 256
MS_DIGITS = 3
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


class Promotions(filters.Filter):
    """Keeps the newest promotions that this proxy carried out."""

    def __init__(self) -> None:
        self._kept: collections.deque[views.Promotion] = collections.deque(
            maxlen=MAX_PROMOTIONS
        )

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields answers to SHOW PROMOTIONS and EXPLAIN PROMOTION."""
        match item:
            case views.Promotion():
                self._kept.append(item)
            case queries.LocalQuery(
                statement=statements.Show(subject=statements.Subject.PROMOTIONS)
            ):
                yield _to(item, self._list(item.at))
            case queries.LocalQuery(
                statement=statements.Explain(event=statements.Event.PROMOTION)
            ):
                yield _to(item, self._explain(item.statement.name))
            case _:
                yield item

    def _list(self, now: float) -> statements.OperatorAnswer:
        rows = tuple(_row(kept, now) for kept in reversed(self._kept))
        return statements.OperatorAnswer(statements.Table(COLUMNS, rows))

    def _explain(self, database: str) -> statements.OperatorAnswer:
        for kept in reversed(self._kept):
            if kept.database == database:
                table = statements.Table(STEP_COLUMNS, tuple(_steps(kept)))
                return statements.OperatorAnswer(table)
        unknown = errors.RequestInvalidError(
            f"no promotion of {database} is known; SHOW PROMOTIONS lists them"
        )
        return statements.OperatorAnswer(error=unknown)


def _to(
    asked: queries.LocalQuery, answer: statements.OperatorAnswer
) -> queries.LocalReply:
    return queries.LocalReply(asked.at, asked.number, answer)


def _row(kept: views.Promotion, now: float) -> Row:
    return (
        kept.database,
        kept.term.number,
        kept.term.proposer,
        kept.primary,
        kept.previous,
        kept.cause.value,
        ", ".join(kept.witnesses),
        kept.reason.value,
        kept.attempts,
        round(kept.at - kept.suspected_at, MS_DIGITS),
        round(now - kept.at, MS_DIGITS),
    )


def _steps(kept: views.Promotion) -> Iterator[Row]:
    previous = kept.previous or "no primary"
    yield (
        "suspected",
        f"{previous} of term {kept.previous_term.number} {kept.cause.value}, "
        f"on the word of {', '.join(kept.witnesses)}",
    )
    term = kept.term
    yield (
        "ballot",
        f"{term.number} by {term.proposer}, attempt {kept.attempts}",
    )
    for vote in kept.votes:
        yield (
            "promise",
            f"{vote.upstream}, whose log ended at {_place(vote.last)}",
        )
    for name in kept.refused:
        yield ("refusal", name)
    for name in kept.silent:
        yield ("no answer", name)
    took_s = kept.at - kept.suspected_at
    yield ("choice", f"{kept.primary}, by {kept.reason.value}")
    yield (
        "promoted",
        f"{kept.primary} as primary of term {term.number}, {took_s:.3f} s "
        "after the suspicion",
    )


def _place(last: position.Position) -> str:
    return f"{last.index} of term {last.term.number}"
