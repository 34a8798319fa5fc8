"""Patches: differences between settings documents, sent in their place."""

from __future__ import annotations

import dataclasses
from typing import Any

from fescueshunt.core import document

ENTRY_FIELDS = ("ranks", "groups", "databases", "services", "calendar")


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """An entry that the newer document no longer has.

    Attributes:
      kind: the field of the document, one of ENTRY_FIELDS.
      name: the name of the entry.
    """

    kind: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Patch:
    """The difference between the document of revision `base` and a newer one.

    Attributes:
      base: the revision that the patch applies to.
      changed: a document with only the entries that are new or differ, and
        with the newer document's revision, operation, author, reason and
        draining hosts, and those of its history entries that are newer than
        `base`.
      dropped: the entries that the newer document no longer has.
    """

    base: int
    changed: document.Document
    dropped: tuple[Dropped, ...] = ()


def diff(before: document.Document, after: document.Document) -> Patch | None:
    """Returns the patch from `before` to `after`.

    Returns None if a patch cannot express the difference, for example when
    entries were reordered.
    """
    content = {
        kind: _select_changed(getattr(before, kind), getattr(after, kind))
        for kind in ENTRY_FIELDS
    }
    history = tuple(e for e in after.history if e.revision > before.revision)
    changed = dataclasses.replace(after, **content, history=history)
    dropped = tuple(
        Dropped(kind, name)
        for kind in ENTRY_FIELDS
        for name in _removed_names(getattr(before, kind), getattr(after, kind))
    )
    patch = Patch(before.revision, changed, dropped)
    return patch if apply(before, patch) == after else None


def apply(before: document.Document, patch: Patch) -> document.Document:
    """Returns the newer document.

    Args:
      before: the document of revision `patch.base`.
      patch: the patch to apply.
    """
    dropped = {(entry.kind, entry.name) for entry in patch.dropped}
    content = {
        kind: _merge(
            [e for e in getattr(before, kind) if (kind, e.name) not in dropped],
            getattr(patch.changed, kind),
        )
        for kind in ENTRY_FIELDS
    }
    history = (*before.history, *patch.changed.history)
    history = history[-document.MAX_HISTORY_ENTRIES :]
    return dataclasses.replace(patch.changed, **content, history=history)


def _select_changed(before: tuple, after: tuple) -> tuple:
    """Returns the entries of `after` that are new or differ from `before`."""
    old = {entry.name: entry for entry in before}
    return tuple(entry for entry in after if old.get(entry.name) != entry)


def _removed_names(before: tuple, after: tuple) -> list[str]:
    remaining = {entry.name for entry in after}
    return [entry.name for entry in before if entry.name not in remaining]


def _merge(old: list[Any], changed: tuple) -> tuple:
    """Returns `old` with changed entries replaced and new entries appended."""
    updates = {entry.name: entry for entry in changed}
    merged = tuple(updates.pop(entry.name, entry) for entry in old)
    return (*merged, *updates.values())
