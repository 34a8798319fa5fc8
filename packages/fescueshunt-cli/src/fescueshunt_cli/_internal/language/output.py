"""Formats the tables of answers as plain text, JSON or CSV."""

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
    """Base class of the output formats."""

    @abc.abstractmethod
    def write(self, table: statements.Table) -> str:
        """Returns `table` as text, without a trailing line break."""


class TableWriter(Writer):
    """Writes human-readable, aligned columns."""

    def write(self, table: statements.Table) -> str:
        """Returns the table with aligned columns; null is written as "-"."""
        return tabulate.tabulate(
            table.rows, table.columns, missingval="-", disable_numparse=True
        )


class JsonWriter(Writer):
    """Writes a JSON list with one object for each row."""

    def write(self, table: statements.Table) -> str:
        """Returns the table as indented JSON."""
        rows = [
            dict(zip(table.columns, row, strict=True)) for row in table.rows
        ]
        return json.dumps(rows, indent=2, ensure_ascii=False)


class CsvWriter(Writer):
    """Writes comma-separated values with a header row."""

    def write(self, table: statements.Table) -> str:
        """Returns the table as CSV; null is written as an empty field."""
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


def format_table(table: statements.Table, form: parse.Format) -> str:
    """Returns `table` in the format `form`."""
    return _WRITERS[form].write(table)
