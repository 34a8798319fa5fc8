"""Writes the leadership record of one database during a failover attempt."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from fescueshunt.core import leadership, store_items

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import filters

# The record is read so long after a write that was not answered.
READ_AFTER_S = 0.3


class WriteResult(enum.Enum):
    """What is known of the last write.

    WRITTEN: The record is in the store.
    UNKNOWN: No answer came; the record must be read.
    MISSING: The record is not in the store and may be written again.
    OVERTAKEN: Another record was written, or the duty was lost.
    """

    WRITTEN = "written"
    UNKNOWN = "unknown"
    MISSING = "missing"
    OVERTAKEN = "overtaken"


class RecordWriter:
    """Builds the writes of a record, and reads whether they were done.

    A write fails if the record was written by another holder, or if this one
    no longer holds the duty.

    Attributes:
      announcement: the revision of the first write, which announces a failover;
        0 until it is done.

    Args:
      database: the database of the record.
      record: the record as it was read, or None if there is none.
      token: the fencing token under which this host holds the duty.
    """

    def __init__(
        self, database: str, record: leadership.Record | None, token: int
    ) -> None:
        self.announcement = 0
        self._key = leadership.record_key(database)
        self._revision = record.revision if record is not None else 0
        self._guard = store_items.KeyRevision(store_items.DUTY_KEY, token)
        self._last_write: store_items.WriteKey | None = None
        self._read_at: float | None = None
        self._repeats = False

    def write(self, record: leadership.Record, now: float) -> filters.Item:
        """Returns a write of `record`, in this announcement."""
        announced = dataclasses.replace(record, announcement=self.announcement)
        self._last_write = store_items.WriteKey(
            now,
            self._key,
            leadership.format_record(announced),
            0,
            self._revision,
            self._guard,
        )
        return self._last_write

    def check(self, item: filters.Item) -> WriteResult | None:
        """Returns the result of the last write if `item` tells of it."""
        result = None
        match item:
            case store_items.KeyWritten():
                result = self.check_written(item)
            case store_items.KeyRead():
                result = self.check_read(item)
        if result is WriteResult.UNKNOWN:
            self._read_at = item.at + READ_AFTER_S
        self._repeats = result is WriteResult.MISSING
        return result

    def pending_calls(self, now: float) -> Iterator[filters.Item]:
        """Yields what finds out, or repeats, a write that was not answered."""
        if self._repeats:
            self._repeats = False
            yield self.repeat(now)
        if self._read_at is not None and now >= self._read_at:
            self._read_at = None
            yield self.read(now)

    def repeat(self, now: float) -> filters.Item:
        """Returns the last write once more."""
        self._last_write = dataclasses.replace(self._last_write, at=now)
        return self._last_write

    def read(self, now: float) -> filters.Item:
        """Returns a read of the record."""
        return store_items.ReadKey(now, self._key)

    def check_written(self, item: store_items.KeyWritten) -> WriteResult | None:
        """Returns the result of the last write; None for any other write."""
        if item.write != self._last_write:
            return None
        if item.done is None:
            return WriteResult.UNKNOWN
        if not item.done:
            return WriteResult.OVERTAKEN
        self._update_revision(item.revision)
        return WriteResult.WRITTEN

    def check_read(self, item: store_items.KeyRead) -> WriteResult | None:
        """Returns the result of the last write; None if `item` is unrelated."""
        last = self._last_write
        if item.key != self._key or last is None or item.requested_at < last.at:
            return None
        if not item.answered:
            return WriteResult.UNKNOWN
        revision = item.stored.revision if item.stored is not None else 0
        if revision == self._revision:
            return WriteResult.MISSING
        if item.stored.value != last.value:
            return WriteResult.OVERTAKEN
        self._update_revision(revision)
        return WriteResult.WRITTEN

    def _update_revision(self, revision: int) -> None:
        self._revision = revision
        self.announcement = self.announcement or revision
