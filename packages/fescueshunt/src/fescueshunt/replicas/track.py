"""Tracks replica sets: who leads, who fails, which positions cover what.

A commit is acknowledged once the primary and one replica have it, so it stands
on two members at least, and all members but one have it among them.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    leadership,
    position,
    replica_sets,
    session_items,
    store_items,
)
from fescueshunt.replicas import items, primary_state

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_SAMPLES = 64
SAMPLE_EVERY_S = 0.05


@dataclasses.dataclass(slots=True)
class ReplicaSet:
    """What is known of a replica set."""

    members: dict[str, primary_state.TrackedMember] = dataclasses.field(
        default_factory=dict
    )
    record: leadership.Record | None = None
    last: primary_state.PrimaryState = primary_state.NO_PRIMARY
    term: int = 0
    samples: collections.deque[replica_sets.PositionSample] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )


class TrackReplicaSets(filters.Filter):
    """Turns members, their words and the store's record into views."""

    def __init__(self) -> None:
        self._sets: dict[str, ReplicaSet] = {}
        self._database_of: dict[str, str] = {}
        self._lease_until = 0.0

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the view of a replica set when something of it is news."""
        match item:
            case session_items.UpstreamResponded():
                yield from self._hear(item)
            case store_items.LeaseView():
                self._lease_until = item.valid_until
                yield from self._renew(item.at)
            case session_items.UpstreamCallCompleted():
                yield from self._answered(item)
            case session_items.UpstreamSuspected():
                self._suspect(item)
            case items.MembersChanged():
                yield from self._change(item)
            case store_items.KeysListed():
                yield from self._list(item)
            case store_items.KeyChanged() if item.stored is not None:
                yield from self._take_record(item.key, item.stored, item.at)
            case filters.Tick():
                yield from self._expire(item.at)
            case _:
                yield item

    def _change(self, item: items.MembersChanged) -> Iterator[filters.Item]:
        found = self._sets.setdefault(item.database, ReplicaSet())
        before = found.members
        found.members = {}
        for entry in item.entries:
            self._database_of[entry.upstream] = item.database
            known = before.get(entry.upstream)
            found.members[entry.upstream] = _keep(known, entry)
        for gone in before.keys() - found.members.keys():
            self._database_of.pop(gone, None)
        yield from self._publish(item.database, found, item.at)

    def _list(self, item: store_items.KeysListed) -> Iterator[filters.Item]:
        for key, stored in item.keys.items():
            yield from self._take_record(key, stored, item.at)

    def _take_record(
        self, key: str, stored: store_items.StoredKey, now: float
    ) -> Iterator[filters.Item]:
        named = leadership.parse_database_record(key, stored)
        if named is None:
            return
        database, record = named
        found = self._sets.setdefault(database, ReplicaSet())
        known = found.record.revision if found.record else 0
        if record.revision <= known:
            return
        found.record = record
        yield from self._publish(database, found, now)

    def _renew(self, now: float) -> Iterator[filters.Item]:
        for database, found in self._sets.items():
            yield from self._publish(database, found, now)

    def _expire(self, now: float) -> Iterator[filters.Item]:
        """Turns to the members' words once the lease is over."""
        if self._lease_until and now >= self._lease_until:
            self._lease_until = 0.0
            yield from self._renew(now)

    def _suspect(self, item: session_items.UpstreamSuspected) -> None:
        database = self._database_of.get(item.upstream)
        if database is None or item.write_since is None:
            return
        member = self._sets[database].members[item.upstream]
        member.stalled_since = member.stalled_since or item.write_since

    def _hear(
        self, item: session_items.UpstreamResponded
    ) -> Iterator[filters.Item]:
        database = self._database_of.get(item.upstream)
        if database is None:
            return
        found = self._sets[database]
        member = found.members[item.upstream]
        was_bad = (member.failing_since, member.stalled_since)
        member.failing_since = None
        if item.wrote:
            member.stalled_since = None
        sampled = self._sample_primary(found, item)
        if sampled or was_bad != (member.failing_since, member.stalled_since):
            yield from self._publish(database, found, item.at)

    def _sample_primary(
        self, found: ReplicaSet, item: session_items.UpstreamResponded
    ) -> bool:
        """Takes the position of a primary that was certain to be one."""
        if item.applied is None:
            return False
        found.term = max(found.term, item.applied.term.number)
        newest = found.samples[-1].at if found.samples else replica_sets.NEVER
        if (
            item.upstream != found.last.primary
            or item.sent_at >= found.last.confirmed_until
            or item.sent_at < newest + SAMPLE_EVERY_S
        ):
            return False
        _add_sample(found, item.sent_at, item.applied)
        return True

    def _answered(
        self, item: session_items.UpstreamCallCompleted
    ) -> Iterator[filters.Item]:
        database = self._database_of.get(item.upstream)
        if database is None:
            return
        found = self._sets[database]
        member = found.members[item.upstream]
        if item.reply is not None:
            member.failing_since = None
        elif item.sent:
            member.failing_since = member.failing_since or item.requested_at
        status = item.reply.status if item.reply is not None else None
        if status is not None and item.requested_at > member.requested_at:
            member.status = status
            member.requested_at = item.requested_at
            found.term = max(found.term, status.term)
            _sample_quorum(found)
        yield from self._publish(database, found, item.at)

    def _publish(
        self, database: str, found: ReplicaSet, now: float
    ) -> Iterator[filters.Item]:
        before = found.last
        found.last = self._lead(found, now)
        found.term = max(found.term, found.last.term)
        if found.last.primary != before.primary:
            details = {
                "database": database,
                "primary": found.last.primary,
                "previous": before.primary,
                "term": found.term,
                "by": "record" if now < self._lease_until else "status",
            }
            yield session_items.LogDecision(now, "primary_changed", "", details)
        yield _view(database, found, now)

    def _lead(
        self, found: ReplicaSet, now: float
    ) -> primary_state.PrimaryState:
        members = found.members.values()
        if now < self._lease_until:
            return primary_state.from_record(
                found.record, members, self._lease_until
            )
        spoken = primary_state.from_status(members)
        if spoken.primary and spoken.term >= found.term:
            return spoken
        return dataclasses.replace(
            found.last, confirmed_until=replica_sets.NEVER
        )


def _keep(
    known: primary_state.TrackedMember | None, entry: replica_sets.UpstreamEntry
) -> primary_state.TrackedMember:
    """Keeps what a member said, unless its process has started anew."""
    if known is None or known.entry.started_ms != entry.started_ms:
        return primary_state.TrackedMember(entry)
    known.entry = entry
    return known


def _sample_quorum(found: ReplicaSet) -> None:
    """Takes the highest position of all members but one."""
    heard = sorted(
        (
            member
            for member in found.members.values()
            if member.status is not None
        ),
        key=lambda member: member.requested_at,
        reverse=True,
    )
    needed = max(len(found.members) - 1, 1)
    if len(heard) >= needed:
        newest = heard[:needed]
        end = max(member.status.received for member in newest)
        _add_sample(found, newest[-1].requested_at, end)


def _add_sample(found: ReplicaSet, at: float, end: position.Position) -> None:
    if found.samples and at <= found.samples[-1].at:
        return
    if found.samples:
        end = max(end, found.samples[-1].end)
    found.samples.append(replica_sets.PositionSample(at, end))


def _view(
    database: str, found: ReplicaSet, now: float
) -> replica_sets.ReplicaSetView:
    members = tuple(
        replica_sets.MemberView(
            member.entry,
            member.status,
            member.requested_at,
            member.failing_since,
            member.stalled_since,
        )
        for member in found.members.values()
    )
    return replica_sets.ReplicaSetView(
        now,
        database,
        members,
        found.last.primary,
        found.term,
        found.last.confirmed_until,
        found.record is not None and found.record.is_moving,
        tuple(found.samples),
    )
