"""Merging: one table from what several proxies know."""

from __future__ import annotations

import abc
import dataclasses

from fescueshunt.core import statements

Row = tuple[statements.Value, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """One proxy's table."""

    proxy: str
    table: statements.Table


class Merge(abc.ABC):
    """How the tables of one statement become one."""

    @abc.abstractmethod
    def merge(self, parts: list[Part]) -> statements.Table:
        """Returns one table; there is at least one part."""


class ByProxy(Merge):
    """Every row, with the proxy that told it in the first column."""

    def merge(self, parts: list[Part]) -> statements.Table:
        """Returns the rows in the order of the proxies' names."""
        columns = ("proxy", *parts[0].table.columns)
        ordered = sorted(parts, key=lambda part: part.proxy)
        rows = tuple(
            (part.proxy, *row) for part in ordered for row in part.table.rows
        )
        return statements.Table(columns, rows)


class Freshest(Merge):
    """One row for each key: the one that was seen last.

    The last column tells how long ago a row was seen; null for never.
    """

    def __init__(self, key_columns: int) -> None:
        self._key_columns = key_columns

    def merge(self, parts: list[Part]) -> statements.Table:
        """Returns the rows in the order of the first part."""
        best: dict[Row, Row] = {}
        for part in parts:
            for row in part.table.rows:
                key = row[: self._key_columns]
                if key not in best or _age(row) < _age(best[key]):
                    best[key] = row
        return statements.Table(parts[0].table.columns, tuple(best.values()))


class InTurn(Merge):
    """Explanations: who began with the first part's event comes first."""

    def __init__(self, first_step: str, step_column: int) -> None:
        self._first_step = first_step
        self._step_column = step_column

    def merge(self, parts: list[Part]) -> statements.Table:
        """Returns all rows, one proxy's after the other's."""
        ordered = sorted(parts, key=self._turn)
        rows = tuple(row for part in ordered for row in part.table.rows)
        return statements.Table(parts[0].table.columns, rows)

    def _turn(self, part: Part) -> tuple[bool, str]:
        first = part.table.rows[0][self._step_column]
        return first != self._first_step, part.proxy


def _age(row: Row) -> float:
    return float("inf") if row[-1] is None else float(row[-1])
