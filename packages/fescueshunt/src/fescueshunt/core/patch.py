"""Patches: what changed between two documents, to send in their place."""

from __future__ import annotations

import dataclasses
from typing import Any

from fescueshunt.core import document

ENTRY_FIELDS = ("ranks", "groups", "databases", "services", "calendar")


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """An entry that the newer document doesn't have."""

    kind: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Patch:
    """What makes the document of revision `base` into a newer one.

    Attributes:
      base: the revision that it applies to.
      changed: a document with just the entries that are new or differ, and
        the newer document's revision, author, history entries and hosts.
      dropped: the entries that are gone.
    """

    base: int
    changed: document.Document
    dropped: tuple[Dropped, ...] = ()


def diff(before: document.Document, after: document.Document) -> Patch | None:
    """Returns the patch from `before` to `after`.

    None where a patch can't tell the difference, as in an order of entries.
    """
    content = {
        kind: _changed(getattr(before, kind), getattr(after, kind))
        for kind in ENTRY_FIELDS
    }
    news = tuple(e for e in after.history if e.revision > before.revision)
    changed = dataclasses.replace(after, **content, history=news)
    dropped = tuple(
        Dropped(kind, name)
        for kind in ENTRY_FIELDS
        for name in _names(getattr(before, kind), getattr(after, kind))
    )
    patch = Patch(before.revision, changed, dropped)
    return patch if apply(before, patch) == after else None


def apply(before: document.Document, patch: Patch) -> document.Document:
    """Returns the newer document; `before` must be the patch's base."""
    gone = {(entry.kind, entry.name) for entry in patch.dropped}
    content = {
        kind: _replaced(
            [e for e in getattr(before, kind) if (kind, e.name) not in gone],
            getattr(patch.changed, kind),
        )
        for kind in ENTRY_FIELDS
    }
    history = (*before.history, *patch.changed.history)
    history = history[-document.MAX_HISTORY_ENTRIES :]
    return dataclasses.replace(patch.changed, **content, history=history)


def _changed(before: tuple, after: tuple) -> tuple:
    old = {entry.name: entry for entry in before}
    return tuple(entry for entry in after if old.get(entry.name) != entry)


def _names(before: tuple, after: tuple) -> list[str]:
    kept = {entry.name for entry in after}
    return [entry.name for entry in before if entry.name not in kept]


def _replaced(old: list[Any], changed: tuple) -> tuple:
    """Returns `old` with changed entries in their places, new ones behind."""
    newer = {entry.name: entry for entry in changed}
    kept = tuple(newer.pop(entry.name, entry) for entry in old)
    return (*kept, *newer.values())
