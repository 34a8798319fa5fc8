"""Tables: which rows a SHOW statement lists, and in which order."""

from __future__ import annotations

import operator
import re
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import statements

if TYPE_CHECKING:
    from collections.abc import Callable

_OPERATORS: dict[statements.Comparison, Callable] = {
    statements.Comparison.LESS: operator.lt,
    statements.Comparison.LESS_EQUAL: operator.le,
    statements.Comparison.GREATER: operator.gt,
    statements.Comparison.GREATER_EQUAL: operator.ge,
}


def select(table: statements.Table, show: statements.Show) -> statements.Table:
    """Returns the rows of `table` that `show` asks for.

    Raises:
      RequestInvalidError: if a named column doesn't exist.
    """
    rows = list(table.rows)
    for condition in show.conditions:
        place = _place(table, condition.column)
        rows = [row for row in rows if _holds(row[place], condition)]
    for order in reversed(show.order):
        place = _place(table, order.column)
        rows.sort(
            key=lambda row, place=place: _sort_key(row[place]),
            reverse=order.descending,
        )
    return statements.Table(table.columns, tuple(rows[: show.limit]))


def _place(table: statements.Table, column: str) -> int:
    if column not in table.columns:
        expected = ", ".join(table.columns)
        raise errors.RequestInvalidError(
            f"no column {column}; expected one of {expected}"
        )
    return table.columns.index(column)


def _holds(value: statements.Value, condition: statements.Condition) -> bool:
    match condition.comparison:
        case statements.Comparison.EQUAL:
            return _same(value, condition.value)
        case statements.Comparison.NOT_EQUAL:
            return not _same(value, condition.value)
        case statements.Comparison.LIKE:
            parts = str(condition.value).split("%")
            pattern = ".*".join(re.escape(part) for part in parts)
            return re.fullmatch(pattern, str(value), re.DOTALL) is not None
    if value is None or condition.value is None:
        return False
    compare = _OPERATORS[condition.comparison]
    return compare(_sort_key(value), _sort_key(condition.value))


def _same(value: statements.Value, other: statements.Value) -> bool:
    return _sort_key(value) == _sort_key(other)


def _sort_key(value: statements.Value) -> tuple[int, float, str]:
    """Orders nulls before truth values, numbers and strings."""
    match value:
        case None:
            return (0, 0.0, "")
        case bool():
            return (1, float(value), "")
        case int() | float():
            return (2, float(value), "")
        case _:
            return (3, 0.0, value)
