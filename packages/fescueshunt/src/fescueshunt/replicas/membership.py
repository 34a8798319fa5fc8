"""Tracks the members of replica sets by their entries in the store.

An upstream whose entry was removed may only have lost its connection to the
store and could still acknowledge commits. It is therefore polled, and it stays
a member until its address refuses connections, another upstream answers there,
or it has not answered for UNLISTED_TIMEOUT_S. Then it is a former member
(`former_members`). It, or its successor, may still acknowledge commits for
FORMER_MEMBER_TTL_S, or until another upstream is listed at its address.

An upstream that starts again under its id holds nothing of before, unless a
replica is found to. Its earlier process is a former member, too.

An upstream that leaves as planned reports that it drains, serves at least
MIN_DRAIN_S, and ends; then its entry is removed. If a connection to its address
is refused after that, it has left: it does not run any more. That its entry is
missing proves nothing, as entries also expire while the store is down.

A host that starts, or that could not read the entries for a while, does not
know which members have come and gone before. It learns of them from the member
record in the store. None of them counts any more once a replica holds all that
was acknowledged before.

An entry whose replica set is not in the operator's document belongs to another
program and is ignored.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import (
    filters,
    member_records,
    replica_sets,
    routes,
    session_items,
    sessions,
    store_items,
)
from fescueshunt.replicas import former_members, items

if TYPE_CHECKING:
    from collections.abc import Iterator

UNLISTED_TIMEOUT_S = 4.0
POLL_INTERVAL_S = 1.0
# An upstream that leaves as planned drains for at least this long.
MIN_DRAIN_S = 7.0
NOT_LISTED = "not listed"


@dataclasses.dataclass(slots=True)
class KnownUpstream:
    """An upstream that has an entry in the store, or had one.

    Attributes:
      entry: the last known entry.
      unlisted_at: when the entry was removed, or None.
      poll_at: when an unlisted upstream is polled next.
      answered_at: when the upstream last answered.
      draining_since: when this host first read that the upstream drains, or
        None.
      vacant_at: when its address first refused a connection since the upstream
        last answered, or None.
      is_covered: whether a replica is known to hold all that it acknowledged.
    """

    entry: replica_sets.UpstreamEntry
    unlisted_at: float | None = None
    poll_at: float = 0.0
    answered_at: float = replica_sets.NEVER
    draining_since: float | None = None
    vacant_at: float | None = None
    is_covered: bool = False

    def is_silent(self, now: float) -> bool:
        """Returns whether it has no entry, and does not answer any more.

        One that drained may have left as planned, which the next call shows.
        """
        if self.unlisted_at is None:
            return False
        silent_since = max(self.unlisted_at, self.answered_at)
        has_ended = self.vacant_at is not None and self.draining_since is None
        return has_ended or now - silent_since > UNLISTED_TIMEOUT_S

    def is_gone(self, incarnation: replica_sets.Incarnation) -> bool:
        """Returns whether it is this process, and has no entry any more."""
        is_same = self.entry.incarnation == incarnation
        return is_same and self.unlisted_at is not None

    def record_answer(self, now: float) -> None:
        """Records that the upstream answered."""
        self.answered_at = now
        self.vacant_at = None
        self.is_covered = False


class Membership(filters.Filter):
    """Tracks the members of every replica set."""

    def __init__(self) -> None:
        self._upstreams: dict[str, KnownUpstream] = {}
        self._former = former_members.FormerMembers()
        self._completely_known: set[str] = set()
        self._records: dict[str, member_records.MemberRecord] = {}
        self._databases: frozenset[str] = frozenset()
        self._watched_since = replica_sets.NEVER

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the members of a replica set whenever they change."""
        match item:
            case routes.RoutesView():
                yield from self._add_databases(item)
            case store_items.EntriesListed():
                yield from self._apply_listing(item)
            case store_items.EntryChanged():
                yield from self._update(item.entry, item.at)
            case store_items.KeysListed() | store_items.KeyChanged():
                yield from self._apply_records(item)
                yield item
            case store_items.EntryRemoved():
                yield from self._mark_unlisted(item.upstream, item.at)
            case session_items.UpstreamCallCompleted():
                yield from self._record_outcome(item)
                yield item
            case session_items.UpstreamResponded():
                self._record_response(item)
                yield item
            case session_items.UpstreamSuspected():
                yield from self._record_suspicion(item)
            case items.FormerMembersCovered():
                yield from self._remove_covered(item)
            case filters.Tick():
                yield from self._tick(item.at)
                yield item
            case _:
                yield item

    def _add_databases(self, item: routes.RoutesView) -> Iterator[filters.Item]:
        """Adds the configured databases; none is ever removed."""
        added = frozenset(item.databases) - self._databases
        self._databases |= added
        represented = {
            state.entry.database for state in self._upstreams.values()
        }
        for database in sorted(added & represented):
            yield from self._members_of(database, item.at)

    def _apply_listing(
        self, item: store_items.EntriesListed
    ) -> Iterator[filters.Item]:
        self._watched_since = item.at
        self._completely_known.clear()
        listed = {entry.upstream for entry in item.entries}
        for upstream in self._upstreams.keys() - listed:
            yield from self._mark_unlisted(upstream, item.at)
        for entry in item.entries:
            yield from self._update(entry, item.at)
        databases = {s.entry.database for s in self._upstreams.values()}
        yield from self._members_of_all(sorted(databases), item.at)

    def _apply_records(
        self, item: store_items.KeysListed | store_items.KeyChanged
    ) -> Iterator[filters.Item]:
        """Takes over the members that the holder of the duty has recorded.

        After a gap, a record may be as incomplete as what this host knows, so
        that only one from before the first listing, or a later one, counts.
        """
        match item:
            case store_items.KeysListed():
                stored_keys = item.keys
            case store_items.KeyChanged():
                stored_keys = {item.key: item.stored}
        for key, stored in stored_keys.items():
            if stored is None:
                continue
            parsed = member_records.parse_database_record(key, stored)
            if parsed is not None:
                yield from self._apply_record(*parsed, item.at)

    def _apply_record(
        self, database: str, record: member_records.MemberRecord, now: float
    ) -> Iterator[filters.Item]:
        known = self._records.get(database)
        if record == known:
            return
        self._records[database] = record
        if record.is_complete:
            self._completely_known.add(database)
        recorded = frozenset(m.incarnation for m in record.members)
        for removed in self._former.apply_record(database, recorded):
            state = self._upstreams.get(removed.upstream)
            if state is not None and state.is_gone(removed):
                state.is_covered = True
        for member in record.members:
            self._add_recorded(database, member, now)
        yield from self._members_of(database, now)

    def _add_recorded(
        self, database: str, member: member_records.RecordedMember, now: float
    ) -> None:
        """Adds a recorded member that has no entry any more.

        It is polled like others whose entry was removed.
        """
        process = member.incarnation
        listed = self._upstreams.get(process.upstream)
        if self._former.knows(process):
            return
        if listed is not None and process.started_ms >= listed.entry.started_ms:
            return
        entry = replica_sets.UpstreamEntry(
            process.upstream,
            database,
            member.address,
            zone="",
            slots=1,
            draining=False,
            role=sessions.ReplicaRole.REPLICA,
            started_ms=process.started_ms,
        )
        recorded = KnownUpstream(entry, unlisted_at=now, poll_at=now)
        if listed is None:
            self._upstreams[process.upstream] = recorded
        else:
            started_ms = listed.entry.started_ms
            self._keep_earlier_process(recorded, started_ms, now)

    def _update(
        self, entry: replica_sets.UpstreamEntry, now: float
    ) -> Iterator[filters.Item]:
        if self._watched_since == replica_sets.NEVER:
            self._watched_since = now
        state = self._upstreams.get(entry.upstream)
        if state is not None and state.entry == entry:
            if state.unlisted_at is not None:
                state.unlisted_at = None
                yield from self._members_of(entry.database, now)
            return
        if state is not None:
            self._keep_earlier_process(state, entry.started_ms, now)
        draining_since = state.draining_since if state is not None else None
        if not entry.draining:
            draining_since = None
        elif draining_since is None:
            draining_since = now
        self._upstreams[entry.upstream] = KnownUpstream(
            entry, draining_since=draining_since
        )
        self._former.restore(entry.incarnation)
        self._former.end_restarted(entry, now)
        replaced = self._former.end_replaced(entry.address, now)
        yield from self._members_of_all([*replaced, entry.database], now)

    def _keep_earlier_process(
        self, state: KnownUpstream, started_ms: int, now: float
    ) -> None:
        """Keeps the process before a restart as a former member."""
        has_restarted = state.entry.started_ms != started_ms
        if has_restarted and state.entry.started_ms and not state.is_covered:
            self._former.add(state.entry, now, state.vacant_at)
            self._former.end(state.entry.incarnation, now)

    def _mark_unlisted(
        self, upstream: str, now: float
    ) -> Iterator[filters.Item]:
        state = self._upstreams.get(upstream)
        if state is None or state.unlisted_at is not None:
            return
        state.unlisted_at = now
        state.poll_at = now
        if state.draining_since is None:
            state.poll_at = now + POLL_INTERVAL_S
        yield from self._members_of(state.entry.database, now)

    def _record_outcome(
        self, item: session_items.UpstreamCallCompleted
    ) -> Iterator[filters.Item]:
        state = self._upstreams.get(item.upstream)
        if state is None:
            return
        if item.reply is not None:
            state.record_answer(item.at)
        if item.refused and state.unlisted_at is not None:
            yield from self._drop(item.upstream, item.at)

    def _record_suspicion(
        self, item: session_items.UpstreamSuspected
    ) -> Iterator[filters.Item]:
        """Records whether no process listens at an upstream's address."""
        state = self._upstreams.get(item.upstream)
        is_vacant = item.reason == errors.NobodyListensError.code
        if state is not None and is_vacant and state.vacant_at is None:
            state.vacant_at = item.at
        if self._has_left(item):
            yield from self._drop(item.upstream, item.at, has_left=True)
        else:
            yield item

    def _record_response(self, item: session_items.UpstreamResponded) -> None:
        state = self._upstreams.get(item.upstream)
        if state is not None:
            state.record_answer(item.at)

    def _remove_covered(
        self, item: items.FormerMembersCovered
    ) -> Iterator[filters.Item]:
        has_removed = self._former.remove_covered(item.former)
        unknown = replica_sets.unknown_members(self._watched_since)
        if unknown in item.former:
            self._completely_known.add(item.database)
        if has_removed or unknown in item.former:
            yield from self._members_of(item.database, item.at)

    def _has_left(self, item: session_items.UpstreamSuspected) -> bool:
        """Returns whether an upstream is now known to have left as planned."""
        state = self._upstreams.get(item.upstream)
        if state is None or state.unlisted_at is None:
            return False
        if state.draining_since is None:
            return False
        is_drained = item.at - state.draining_since >= MIN_DRAIN_S
        return is_drained and item.reason == errors.NobodyListensError.code

    def _tick(self, now: float) -> Iterator[filters.Item]:
        yield from self._poll_unlisted(now)
        yield from self._drop_silent(now)
        ended = self._former.end_silent(now)
        yield from self._members_of_all(ended, now)

    def _poll_unlisted(self, now: float) -> Iterator[filters.Item]:
        for upstream, state in self._upstreams.items():
            if state.unlisted_at is not None and now >= state.poll_at:
                state.poll_at = now + POLL_INTERVAL_S
                yield session_items.UpstreamSuspected(now, upstream, NOT_LISTED)

    def _drop_silent(self, now: float) -> Iterator[filters.Item]:
        silent = [
            upstream
            for upstream, state in self._upstreams.items()
            if state.is_silent(now)
        ]
        for upstream in silent:
            yield from self._drop(upstream, now)

    def _drop(
        self, upstream: str, now: float, *, has_left: bool = False
    ) -> Iterator[filters.Item]:
        """Drops a member, which may run until its address is used again.

        If another upstream already runs there, but is not listed yet, that one
        may acknowledge commits.
        """
        dropped = self._upstreams.pop(upstream)
        if dropped.is_covered:
            yield from self._members_of(dropped.entry.database, now)
            return
        self._former.add(dropped.entry, dropped.unlisted_at, dropped.vacant_at)
        is_replaced = any(
            state.unlisted_at is None
            and state.entry.address == dropped.entry.address
            for state in self._upstreams.values()
        )
        if has_left or is_replaced:
            self._former.end(dropped.entry.incarnation, now)
        yield from self._members_of(dropped.entry.database, now)

    def _members_of_all(
        self, databases: list[str], now: float
    ) -> Iterator[filters.Item]:
        for database in dict.fromkeys(databases):
            yield from self._members_of(database, now)

    def _members_of(self, database: str, now: float) -> Iterator[filters.Item]:
        if database not in self._databases:
            return
        members = tuple(
            dataclasses.replace(
                state.entry,
                listed=state.unlisted_at is None,
                draining_since=state.draining_since,
            )
            for state in self._upstreams.values()
            if state.entry.database == database
        )
        former = self._former.of(database)
        if database not in self._completely_known:
            unknown = replica_sets.unknown_members(self._watched_since)
            former = (*former, unknown)
        yield items.MembersChanged(
            now, database, members, former, self._watched_since
        )
