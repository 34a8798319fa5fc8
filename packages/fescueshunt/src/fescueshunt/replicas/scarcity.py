"""Tells of which databases the upstreams accept fewer connections than hosts.

A host may hold a connection to such an upstream only while it uses it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, routes, store_items
from fescueshunt.replicas import items

if TYPE_CHECKING:
    from collections.abc import Iterator


class ScarcityTracker(filters.Filter):
    """Compares the operator's limits of connections with the live hosts."""

    def __init__(self) -> None:
        self._limits: dict[str, int] = {}
        self._host_count = 1
        self._scarce: frozenset[str] = frozenset()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the databases with scarce connections when they change."""
        match item:
            case routes.RoutesView():
                self._limits = {
                    name: policy.max_connections
                    for name, policy in item.databases.items()
                }
                yield from self._update(item.at)
                yield item
            case store_items.LiveHostsView():
                self._host_count = len(item.names)
                yield from self._update(item.at)
            case _:
                yield item

    def _update(self, now: float) -> Iterator[filters.Item]:
        scarce = frozenset(
            name
            for name, limit in self._limits.items()
            if limit < self._host_count
        )
        if scarce != self._scarce:
            self._scarce = scarce
            yield items.ScarceConnections(now, scarce)
