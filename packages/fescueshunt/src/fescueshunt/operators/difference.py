"""What a change changes: the fields of two documents that differ."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from fescueshunt.core import statements

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import document

COLUMNS = ("entry", "field", "before", "after")
_CONTENT = ("ranks", "groups", "databases", "services", "calendar")


def between(
    before: document.Document, after: document.Document
) -> statements.Table:
    """Returns one row for each field that differs."""
    rows = []
    for kind in _CONTENT:
        old = {entry.name: entry for entry in getattr(before, kind)}
        new = {entry.name: entry for entry in getattr(after, kind)}
        for name in sorted(old.keys() | new.keys()):
            entry = f"{kind}.{name}"
            rows.extend(_entry(entry, old.get(name), new.get(name)))
    if before.draining_hosts != after.draining_hosts:
        old_hosts = _text(before.draining_hosts)
        new_hosts = _text(after.draining_hosts)
        rows.append(("settings", "draining_hosts", old_hosts, new_hosts))
    return statements.Table(COLUMNS, tuple(rows))


def _entry(entry: str, old: Any, new: Any) -> Iterator[tuple]:
    if old is None or new is None:
        yield (entry, "", _text(old), _text(new))
        return
    for field in dataclasses.fields(old):
        was, becomes = getattr(old, field.name), getattr(new, field.name)
        if was != becomes:
            yield (entry, field.name, _text(was), _text(becomes))


def _text(value: Any) -> str:
    """Returns any content as a short text."""
    match value:
        case None:
            return ""
        case tuple():
            return ", ".join(_text(part) for part in value)
        case str():
            return str(value)
    if dataclasses.is_dataclass(value):
        pairs = (
            f"{field.name}={_text(getattr(value, field.name))}"
            for field in dataclasses.fields(value)
        )
        return " ".join(pairs)
    return str(value)
