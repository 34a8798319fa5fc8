"""Records the members of replica sets while this host holds the failover duty.

A host that starts later does not know of members that are gone, and would take
the registered ones for all that may have acknowledged commits. It reads them
from the record.

A former member leaves the record once a replica is known to hold what it has
acknowledged. Until then the members are asked for their positions.
"""

from __future__ import annotations

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


class MemberRecorder(filters.Filter):
    """Writes the member records, and polls until former members are covered."""

    def __init__(self) -> None:
        self._duty = store_items.DutyView(0.0, 0, 0.0, 0.0)
        self._views: dict[str, replica_sets.ReplicaSetView] = {}
        self._stored: dict[str, str] = {}
        self._write_after: dict[str, float] = {}
        self._poll_after: dict[str, float] = {}

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the records to write and the status calls, then `item`."""
        match item:
            case store_items.DutyView():
                self._update_duty(item)
            case store_items.KeysListed():
                self._stored = {
                    key: stored.value
                    for key, stored in item.keys.items()
                    if key.startswith(member_records.RECORDS_PREFIX)
                }
            case store_items.KeyChanged():
                self._record_change(item)
            case replica_sets.ReplicaSetView():
                yield from self._update_view(item)
            case filters.Tick():
                yield from self._tick(item.at)
        yield item

    def _update_duty(self, item: store_items.DutyView) -> None:
        if item.token != self._duty.token:
            self._write_after.clear()
        self._duty = item

    def _record_change(self, item: store_items.KeyChanged) -> None:
        if not item.key.startswith(member_records.RECORDS_PREFIX):
            return
        self._stored.pop(item.key, None)
        if item.stored is not None:
            self._stored[item.key] = item.stored.value

    def _update_view(
        self, view: replica_sets.ReplicaSetView
    ) -> Iterator[filters.Item]:
        known = self._views.get(view.database)
        self._views[view.database] = view
        has_changed = known is None or (
            _incarnations(known) != _incarnations(view)
        )
        if has_changed and self._duty.is_held(view.at):
            self._poll_after.pop(view.database, None)
            yield from self._write(view, view.at)

    def _tick(self, now: float) -> Iterator[filters.Item]:
        if not self._duty.is_held(now):
            return
        for database, view in self._views.items():
            if now >= self._write_after.get(database, 0.0):
                yield from self._write(view, now)
            yield from self._poll(view, now)

    def _write(
        self, view: replica_sets.ReplicaSetView, now: float
    ) -> Iterator[filters.Item]:
        """Writes the record if it is neither stored nor on its way."""
        self._write_after[view.database] = now + RETRY_AFTER_S
        key = member_records.record_key(view.database)
        value = member_records.format_record(_record_of(view))
        if value == self._stored.get(key):
            return
        guard = store_items.KeyRevision(store_items.DUTY_KEY, self._duty.token)
        yield store_items.WriteKey(now, key, value, 0, None, guard)

    def _poll(
        self, view: replica_sets.ReplicaSetView, now: float
    ) -> Iterator[filters.Item]:
        """Asks the members while a former one may be found to be covered."""
        is_open = any(member.gone_at is not None for member in view.former)
        is_due = now >= self._poll_after.get(view.database, 0.0)
        if not (is_open and is_due and view.is_confirmed(now)):
            return
        self._poll_after[view.database] = now + POLL_INTERVAL_S
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
