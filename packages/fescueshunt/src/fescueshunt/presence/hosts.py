"""The live hosts, by their leased keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, store_items

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import identity


class LiveHosts(filters.Filter):
    """Keeps the names of the live hosts; this one counts as one of them."""

    def __init__(self, me: identity.Identity) -> None:
        self._me = me.name
        self._names: frozenset[str] = frozenset()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the live hosts when they change."""
        match item:
            case store_items.KeysListed():
                yield from self._set(
                    item.at, map(store_items.host_from_key, item.keys)
                )
            case store_items.KeyChanged():
                yield from self._change(item)
            case _:
                yield item

    def _change(self, item: store_items.KeyChanged) -> Iterator[filters.Item]:
        name = store_items.host_from_key(item.key)
        if not name:
            return
        others = self._names - {name}
        kept = others if item.stored is None else others | {name}
        yield from self._set(item.at, kept)

    def _set(
        self, now: float, names: Iterator[str] | frozenset[str]
    ) -> Iterator[filters.Item]:
        live = frozenset(name for name in names if name) | {self._me}
        if live != self._names:
            self._names = live
            yield store_items.LiveHostsView(now, live)
