"""Acknowledges moves of a primary, so that their holder need not wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, leadership, store_items

if TYPE_CHECKING:
    from collections.abc import Iterator


class Acknowledge(filters.Filter):
    """Writes this host's acknowledgement of each move that it learns of.

    The view of the replica set has no primary by then, as the same news makes
    it, so nothing is sent to the old primary afterwards.
    """

    def __init__(self, me: str) -> None:
        self._me = me
        self._lease = 0

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields acknowledgements to write."""
        match item:
            case store_items.LeaseView():
                self._lease = item.lease
            case store_items.KeysListed():
                for key, stored in item.keys.items():
                    yield from self._acknowledge(key, stored, item.at)
            case store_items.KeyChanged() if item.stored is not None:
                yield from self._acknowledge(item.key, item.stored, item.at)
        yield item

    def _acknowledge(
        self, key: str, stored: store_items.StoredKey, now: float
    ) -> Iterator[filters.Item]:
        found = leadership.parse_database_record(key, stored)
        if found is None or not self._lease:
            return
        database, record = found
        if not record.is_moving:
            return
        yield store_items.WriteKey(
            now,
            leadership.ack_key(database, self._me),
            str(record.revision),
            self._lease,
            None,
        )
