"""Filters and sorts the rows of a table as a SHOW statement specifies."""

from __future__ import annotations

import operator
import re
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import statements

if TYPE_CHECKING:
    from collections.abc import Callable

_ORDERINGS: dict[statements.Comparison, Callable] = {
    statements.Comparison.LESS: operator.lt,
    statements.Comparison.LESS_EQUAL: operator.le,
    statements.Comparison.GREATER: operator.gt,
    statements.Comparison.GREATER_EQUAL: operator.ge,
}


def select(table: statements.Table, show: statements.Show) -> statements.Table:
    """Returns `table` with the rows that `show` lists, in its order.

    Raises:
      RequestInvalidError: if `show` names a column that does not exist.
    """
    rows = list(table.rows)
    for condition in show.conditions:
        index = _column_index(table, condition.column)
        rows = [row for row in rows if _matches(row[index], condition)]
    for order in reversed(show.order):
        index = _column_index(table, order.column)
        rows.sort(
            key=lambda row, index=index: _sort_key(row[index]),
            reverse=order.descending,
        )
    return statements.Table(table.columns, tuple(rows[: show.limit]))


def _column_index(table: statements.Table, column: str) -> int:
    if column not in table.columns:
        expected = ", ".join(table.columns)
        raise errors.RequestInvalidError(
            f"no column {column}; expected one of {expected}"
        )
    return table.columns.index(column)


def _matches(value: statements.Value, condition: statements.Condition) -> bool:
    match condition.comparison:
        case statements.Comparison.EQUAL:
            return _is_equal(value, condition.value)
        case statements.Comparison.NOT_EQUAL:
            return not _is_equal(value, condition.value)
        case statements.Comparison.LIKE:
            parts = str(condition.value).split("%")
            pattern = ".*".join(re.escape(part) for part in parts)
            return re.fullmatch(pattern, str(value), re.DOTALL) is not None
    if value is None or condition.value is None:
        return False
    compare = _ORDERINGS[condition.comparison]
    return compare(_sort_key(value), _sort_key(condition.value))


def _is_equal(value: statements.Value, other: statements.Value) -> bool:
    return _sort_key(value) == _sort_key(other)


def _sort_key(value: statements.Value) -> tuple[int, float, str]:
    """Returns a sort key that orders null < Booleans < numbers < strings."""
    match value:
        case None:
            return (0, 0.0, "")
        case bool():
            return (1, float(value), "")
        case int() | float():
            return (2, float(value), "")
        case _:
            return (3, 0.0, value)
