"""Puts newer versions of the operator's routes in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, session_items
from fescueshunt.routing import items

if TYPE_CHECKING:
    from collections.abc import Iterator


class RoutesUpdater(filters.Filter):
    """Puts routes in force if their version is higher than the current one."""

    def __init__(self) -> None:
        self._version = 0

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields routes that come into force, and the decisions to log."""
        match item:
            case items.RoutesRead():
                yield from self._adopt(item)
            case items.RoutesUnreadable():
                yield session_items.LogDecision(
                    item.at,
                    "routes_unreadable",
                    "",
                    {"problem": item.problem, "kept_version": self._version},
                )
            case _:
                yield item

    def _adopt(self, item: items.RoutesRead) -> Iterator[filters.Item]:
        if item.view.version <= self._version:
            return
        details = {"version": item.view.version, "replaced": self._version}
        self._version = item.view.version
        yield session_items.LogDecision(item.at, "routes_in_force", "", details)
        yield item.view
