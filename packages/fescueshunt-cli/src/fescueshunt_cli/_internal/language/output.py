"""Answers as text: a table, JSON or CSV."""

from __future__ import annotations

import abc
import csv
import io
import json
from typing import TYPE_CHECKING

import tabulate

from fescueshunt_cli._internal.language import parse

if TYPE_CHECKING:
    from fescueshunt.core import statements


class Writer(abc.ABC):
    """One format."""

    @abc.abstractmethod
    def write(self, table: statements.Table) -> str:
        """Returns `table` as text, without a line break at the end."""


class TableWriter(Writer):
    """Columns in line, for people."""

    def write(self, table: statements.Table) -> str:
        """Returns a table."""
        return tabulate.tabulate(
            table.rows, table.columns, missingval="-", disable_numparse=True
        )


class JsonWriter(Writer):
    """A list of objects, one for each row."""

    def write(self, table: statements.Table) -> str:
        """Returns JSON."""
        rows = [
            dict(zip(table.columns, row, strict=True)) for row in table.rows
        ]
        return json.dumps(rows, indent=2, ensure_ascii=False)


class CsvWriter(Writer):
    """Comma-separated values with a header; null is empty."""

    def write(self, table: statements.Table) -> str:
        """Returns CSV."""
        stream = io.StringIO()
        writer = csv.writer(stream, lineterminator="\n")
        writer.writerow(table.columns)
        writer.writerows(table.rows)
        return stream.getvalue().rstrip("\n")


_WRITERS: dict[parse.Format, Writer] = {
    parse.Format.TABLE: TableWriter(),
    parse.Format.JSON: JsonWriter(),
    parse.Format.CSV: CsvWriter(),
}


def text_of(table: statements.Table, form: parse.Format) -> str:
    """Returns `table` in the format `form`."""
    return _WRITERS[form].write(table)
