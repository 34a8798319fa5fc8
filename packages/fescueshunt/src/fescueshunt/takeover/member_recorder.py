"""Records the members of replica sets while this host holds the failover duty.

A host that starts later does not know of members that are gone, and would take
the registered ones for all that may have acknowledged commits. It reads them
from the record.

A former member leaves the record once a replica is known to hold what it has
acknowledged. Until then the members are asked for their positions.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    member_records,
    replica_sets,
    session_items,
    sessions,
    store_items,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

RETRY_AFTER_S = 1.0
POLL_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 0.5


@dataclasses.dataclass(slots=True)
class RecordState:
    """The record of one replica set, as this host knows it.

    Attributes:
      value: the value in the store; "" if there is none.
      revision: the revision of that; 0 if there is none.
      write: the write that is not answered yet, or None.
      retry_at: when the record may be written again.
      poll_at: when the members may be polled again.
    """

    value: str = ""
    revision: int = 0
    write: store_items.WriteKey | None = None
    retry_at: float = 0.0
    poll_at: float = 0.0

    def update(self, value: str, revision: int) -> None:
        """Takes over a value, unless it is older."""
        if revision > self.revision:
            self.value, self.revision = value, revision


class MemberRecorder(filters.Filter):
    """Writes the member records, and polls until former members are covered.

    A write fails unless this host has read the record that it replaces, so that
    no member is left out that an earlier holder knew.
    """

    def __init__(self) -> None:
        self._duty = store_items.DutyView(0.0, 0, 0.0, 0.0)
        self._views: dict[str, replica_sets.ReplicaSetView] = {}
        self._records: dict[str, RecordState] = collections.defaultdict(
            RecordState
        )

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the records to write and the status calls, then `item`."""
        match item:
            case store_items.DutyView():
                self._duty = item
            case store_items.KeysListed():
                for key in self._records.keys() | item.keys.keys():
                    stored = item.keys.get(key)
                    self._update_record(key, stored, item.revision)
            case store_items.KeyChanged():
                self._update_record(item.key, item.stored, item.revision)
            case store_items.KeyWritten():
                self._record_written(item)
            case replica_sets.ReplicaSetView():
                yield from self._update_view(item)
            case filters.Tick() if self._duty.is_held(item.at):
                for view in self._views.values():
                    yield from self._write(view, item.at)
                    yield from self._poll(view, item.at)
        yield item

    def _update_record(
        self,
        key: str,
        stored: store_items.StoredKey | None,
        store_revision: int,
    ) -> None:
        """Takes over what is in the store, unless this host knows better."""
        if not key.startswith(member_records.RECORDS_PREFIX):
            return
        record = self._records[key]
        if stored is not None:
            record.update(stored.value, stored.revision)
        elif store_revision > record.revision:
            record.value, record.revision = "", 0

    def _record_written(self, item: store_items.KeyWritten) -> None:
        record = self._records.get(item.key)
        if record is None or item.write != record.write:
            return
        record.write = None
        if item.done:
            record.update(item.write.value, item.revision)
            record.retry_at = item.at

    def _update_view(
        self, view: replica_sets.ReplicaSetView
    ) -> Iterator[filters.Item]:
        known = self._views.get(view.database)
        self._views[view.database] = view
        if not self._duty.is_held(view.at):
            return
        if known is None or _incarnations(known) != _incarnations(view):
            record = self._records[member_records.record_key(view.database)]
            record.retry_at = record.poll_at = view.at
            yield from self._write(view, view.at)

    def _write(
        self, view: replica_sets.ReplicaSetView, now: float
    ) -> Iterator[filters.Item]:
        """Writes the record unless it is stored, or a write is on its way."""
        key = member_records.record_key(view.database)
        record = self._records[key]
        if now < record.retry_at or record.write is not None:
            return
        record.retry_at = now + RETRY_AFTER_S
        value = member_records.format_record(_record_of(view))
        if value == record.value:
            return
        guard = store_items.KeyRevision(store_items.DUTY_KEY, self._duty.token)
        record.write = store_items.WriteKey(
            now, key, value, 0, record.revision, guard
        )
        yield record.write

    def _poll(
        self, view: replica_sets.ReplicaSetView, now: float
    ) -> Iterator[filters.Item]:
        """Asks the members while a former one may be found to be covered."""
        is_open = any(member.gone_at is not None for member in view.former)
        record = self._records[member_records.record_key(view.database)]
        is_due = now >= record.poll_at
        if not (is_open and is_due and view.is_confirmed(now)):
            return
        record.poll_at = now + POLL_INTERVAL_S
        for member in view.members:
            if member.entry.listed:
                yield session_items.CallUpstream(
                    now,
                    member.upstream,
                    sessions.GetStatus(),
                    now + CALL_TIMEOUT_S,
                )


def _incarnations(
    view: replica_sets.ReplicaSetView,
) -> set[replica_sets.Incarnation]:
    """Returns the processes of the members and the former members."""
    running = {member.entry.incarnation for member in view.members}
    return running | {former.incarnation for former in view.former}


def _record_of(
    view: replica_sets.ReplicaSetView,
) -> member_records.MemberRecord:
    entries = (member.entry for member in view.members)
    known_former = (f for f in view.former if not f.is_unknown)
    return member_records.MemberRecord(
        frozenset(
            member_records.RecordedMember(process.incarnation, process.address)
            for process in (*entries, *known_former)
        ),
        view.knows_all_members,
    )
