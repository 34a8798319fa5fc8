"""Adoption: which settings are in force here. Revisions never go back."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import document, filters, views
from fescueshunt.core import items as core_items

if TYPE_CHECKING:
    from collections.abc import Iterator

WATCH_S = 5.0
RETRY_S = 0.5


@dataclasses.dataclass(slots=True)
class AdoptState:
    """What adoption remembers.

    `read_again_at` is None while a read is in flight.
    """

    document: document.Document = document.Document()
    read_again_at: float | None = 0.0


class Adopt(filters.Filter):
    """Watches the store and publishes each higher revision once."""

    def __init__(self) -> None:
        self._state = AdoptState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields settings views and reads of the store."""
        match item:
            case core_items.SettingsRead():
                yield from self._adopt(item.document, item.at)
                yield self._read(item.at)
            case core_items.SettingsReadFailed():
                self._state.read_again_at = item.at + RETRY_S
            case filters.Tick():
                due = self._state.read_again_at
                if due is not None and due <= item.at:
                    yield self._read(item.at)
                yield item
            case _:
                yield item

    def _adopt(
        self, offered: document.Document, now: float
    ) -> Iterator[filters.Item]:
        if offered.revision <= self._state.document.revision:
            return
        self._state.document = offered
        yield views.SettingsView(now, offered)

    def _read(self, now: float) -> core_items.ReadSettings:
        self._state.read_again_at = None
        return core_items.ReadSettings(
            now, self._state.document.revision, WATCH_S
        )
