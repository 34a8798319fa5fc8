"""Differences between two settings documents, as a table for operators."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from fescueshunt.core import statements

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import document

COLUMNS = ("entry", "field", "before", "after")
_ENTRY_FIELDS = ("ranks", "groups", "databases", "services", "calendar")


def build_table(
    before: document.Document, after: document.Document
) -> statements.Table:
    """Returns a table with one row for each field that differs.

    An entry that was added or removed has a single row with an empty field
    name.
    """
    rows = []
    for kind in _ENTRY_FIELDS:
        old = {entry.name: entry for entry in getattr(before, kind)}
        new = {entry.name: entry for entry in getattr(after, kind)}
        for name in sorted(old.keys() | new.keys()):
            label = f"{kind}.{name}"
            rows.extend(_entry_rows(label, old.get(name), new.get(name)))
    if before.draining_hosts != after.draining_hosts:
        old_hosts = _format_value(before.draining_hosts)
        new_hosts = _format_value(after.draining_hosts)
        rows.append(("settings", "draining_hosts", old_hosts, new_hosts))
    return statements.Table(COLUMNS, tuple(rows))


def _entry_rows(label: str, old: Any, new: Any) -> Iterator[tuple]:
    if old is None or new is None:
        yield (label, "", _format_value(old), _format_value(new))
        return
    for field in dataclasses.fields(old):
        old_value, new_value = (
            getattr(old, field.name),
            getattr(new, field.name),
        )
        if old_value != new_value:
            yield (
                label,
                field.name,
                _format_value(old_value),
                _format_value(new_value),
            )


def _format_value(value: Any) -> str:
    """Returns a short text for a field value or an entry; "" for None."""
    match value:
        case None:
            return ""
        case tuple():
            return ", ".join(_format_value(part) for part in value)
        case str():
            return str(value)
    if dataclasses.is_dataclass(value):
        pairs = (
            f"{field.name}={_format_value(getattr(value, field.name))}"
            for field in dataclasses.fields(value)
        )
        return " ".join(pairs)
    return str(value)
