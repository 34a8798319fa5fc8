"""Tracks the live hosts by the keys that are bound to their leases."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, hosts, store_items

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from fescueshunt.core import identity


class LiveHostTracker(filters.Filter):
    """Tracks the live hosts; this host always counts as live."""

    def __init__(self, own_identity: identity.Identity) -> None:
        self._own = hosts.info_of(own_identity)
        self._hosts: dict[str, hosts.HostInfo] = {}

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields a view of the live hosts whenever it changes."""
        match item:
            case store_items.KeysListed():
                yield from self._update(item.at, _live_hosts(item.keys))
            case store_items.KeyChanged():
                yield from self._apply_change(item)
            case _:
                yield item

    def _apply_change(
        self, item: store_items.KeyChanged
    ) -> Iterator[filters.Item]:
        name = store_items.host_from_key(item.key)
        if not name:
            return
        others = {
            other: info for other, info in self._hosts.items() if other != name
        }
        changed = {}
        if _is_live(item.stored):
            changed = {name: hosts.parse_value(name, item.stored.value)}
        yield from self._update(item.at, others | changed)

    def _update(
        self, now: float, live: dict[str, hosts.HostInfo]
    ) -> Iterator[filters.Item]:
        live = live | {self._own.name: self._own}
        if live != self._hosts:
            self._hosts = live
            yield store_items.LiveHostsView(now, frozenset(live), live)


def _live_hosts(
    keys: Mapping[str, store_items.StoredKey],
) -> dict[str, hosts.HostInfo]:
    live = {}
    for key, stored in keys.items():
        name = store_items.host_from_key(key)
        if name and _is_live(stored):
            live[name] = hosts.parse_value(name, stored.value)
    return live


def _is_live(stored: store_items.StoredKey | None) -> bool:
    """Returns whether the key of a host says that it is live."""
    return (
        store_items.is_leased(stored) and stored.value != store_items.STOPPING
    )
