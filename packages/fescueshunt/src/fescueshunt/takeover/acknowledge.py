"""Acknowledges announced primary changes in the store.

The host that replaces a primary can then go on without waiting for this host's
lease to end.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, leadership, store_items

if TYPE_CHECKING:
    from collections.abc import Iterator


class Acknowledger(filters.Filter):
    """Writes this host's acknowledgement of each announced primary change.

    The same store event has already cleared the primary from this host's view
    of the replica set, so the host sends nothing to the old primary after it
    acknowledges.
    """

    def __init__(self, host_name: str) -> None:
        self._host_name = host_name
        self._lease = 0
        self._records: dict[str, leadership.Record] = {}
        self._acknowledged: dict[str, int] = {}

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the acknowledgements to write, then `item` itself."""
        match item:
            case store_items.LeaseView() if item.lease != self._lease:
                self._lease = item.lease
                yield from self._acknowledge_all(item.at)
            case store_items.KeysListed():
                for key, stored in item.keys.items():
                    yield from self._record(key, stored, item.at)
            case store_items.KeyChanged() if item.stored is not None:
                yield from self._record(item.key, item.stored, item.at)
        yield item

    def _record(
        self, key: str, stored: store_items.StoredKey, now: float
    ) -> Iterator[filters.Item]:
        parsed = leadership.parse_database_record(key, stored)
        if parsed is not None:
            database, record = parsed
            self._records[database] = record
            yield from self._acknowledge(database, now)

    def _acknowledge_all(self, now: float) -> Iterator[filters.Item]:
        """Acknowledges under a new lease what was announced before it."""
        self._acknowledged.clear()
        for database in self._records:
            yield from self._acknowledge(database, now)

    def _acknowledge(self, database: str, now: float) -> Iterator[filters.Item]:
        record = self._records[database]
        if not record.is_failing_over or not self._lease:
            return
        announcement = record.announcement or record.revision
        if self._acknowledged.get(database) == announcement:
            return
        self._acknowledged[database] = announcement
        yield store_items.WriteKey(
            now,
            leadership.ack_key(database, self._host_name),
            str(announcement),
            self._lease,
            None,
        )
