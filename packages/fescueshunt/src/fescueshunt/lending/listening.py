"""Decides when this host begins to accept links of other hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    lenders,
    peer_items,
    routes,
    store_items,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import identity


class ListeningDecision(filters.Filter):
    """Listens once connections are lent or client accounts are in use.

    Where neither is the case, hosts need nothing of each other, and no link is
    ever opened.
    """

    def __init__(self, own_identity: identity.Identity, *, lends: bool) -> None:
        self._lends = lends
        self._has_address = bool(own_identity.peer_address)
        self._is_listening = False
        self._routes: routes.RoutesView | None = None
        self._host_count = 1

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the decision to listen, once."""
        match item:
            case routes.RoutesView():
                self._routes = item
                yield from self._decide(item.at)
                yield item
            case store_items.LiveHostsView():
                self._host_count = len(item.hosts)
                yield from self._decide(item.at)
                yield item
            case _:
                yield item

    def _decide(self, now: float) -> Iterator[filters.Item]:
        if self._has_address and not self._is_listening and self._is_needed():
            self._is_listening = True
            yield peer_items.ListenForPeers(now)

    def _is_needed(self) -> bool:
        if self._routes is None:
            return False
        if self._routes.accounts is not None:
            return True
        return self._lends and any(
            lenders.lends_connections(
                policy, self._host_count, has_accounts=False
            )
            for policy in self._routes.databases.values()
        )
