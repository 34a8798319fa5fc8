"""Policies for merging the tables of several proxies into one."""

from __future__ import annotations

import abc
import dataclasses

from fescueshunt.core import statements

Row = tuple[statements.Value, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProxyTable:
    """The table that one proxy returned for a statement.

    Attributes:
      proxy: the name of the proxy.
      table: its rows.
    """

    proxy: str
    table: statements.Table


class MergePolicy(abc.ABC):
    """Merges the tables that several proxies returned for a statement."""

    @abc.abstractmethod
    def merge(self, proxy_tables: list[ProxyTable]) -> statements.Table:
        """Returns the merged table; `proxy_tables` must not be empty."""


class ConcatenateByProxy(MergePolicy):
    """Keeps every row and adds the proxy's name as the first column."""

    def merge(self, proxy_tables: list[ProxyTable]) -> statements.Table:
        """Returns all rows, sorted by proxy name."""
        columns = ("proxy", *proxy_tables[0].table.columns)
        ordered = sorted(
            proxy_tables, key=lambda proxy_table: proxy_table.proxy
        )
        rows = tuple(
            (proxy_table.proxy, *row)
            for proxy_table in ordered
            for row in proxy_table.table.rows
        )
        return statements.Table(columns, rows)


class KeepNewest(MergePolicy):
    """Keeps the newest row for each key.

    The last column of a row is its age in seconds. A row whose age is null
    counts as the oldest.
    """

    def __init__(self, key_columns: int) -> None:
        """Initializes the policy.

        Args:
          key_columns: the number of leading columns that form the key.
        """
        self._key_columns = key_columns

    def merge(self, proxy_tables: list[ProxyTable]) -> statements.Table:
        """Returns the newest rows, in the order in which keys first occur."""
        newest_rows: dict[Row, Row] = {}
        for proxy_table in proxy_tables:
            for row in proxy_table.table.rows:
                key = row[: self._key_columns]
                if key not in newest_rows or _age_s(row) < _age_s(
                    newest_rows[key]
                ):
                    newest_rows[key] = row
        return statements.Table(
            proxy_tables[0].table.columns, tuple(newest_rows.values())
        )


class ConcatenateOriginFirst(MergePolicy):
    """Keeps every row, with those of a request's originating proxy first.

    The originating proxy is the one whose first row has the step `first_step`.
    """

    def __init__(self, first_step: str, step_column: int) -> None:
        """Initializes the policy.

        Args:
          first_step: the step with which the originating proxy begins.
          step_column: the index of the column that contains the step.
        """
        self._first_step = first_step
        self._step_column = step_column

    def merge(self, proxy_tables: list[ProxyTable]) -> statements.Table:
        """Returns all rows: the originating proxy's first, others by name."""
        ordered = sorted(proxy_tables, key=self._sort_key)
        rows = tuple(
            row for proxy_table in ordered for row in proxy_table.table.rows
        )
        return statements.Table(proxy_tables[0].table.columns, rows)

    def _sort_key(self, proxy_table: ProxyTable) -> tuple[bool, str]:
        first_step = proxy_table.table.rows[0][self._step_column]
        return first_step != self._first_step, proxy_table.proxy


def _age_s(row: Row) -> float:
    return float("inf") if row[-1] is None else float(row[-1])
