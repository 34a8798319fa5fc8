"""Tracks replica sets: the primary, failing members and log positions."""

from __future__ import annotations

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
from fescueshunt.replicas import items, primary_state, set_state

if TYPE_CHECKING:
    from collections.abc import Iterator

SAMPLE_INTERVAL_S = 0.05


class ReplicaSetTracker(filters.Filter):
    """Builds replica set views from members, their replies and the store."""

    def __init__(self) -> None:
        self._states: dict[str, set_state.ReplicaSetState] = {}
        self._database_of: dict[str, str] = {}
        self._lease_until = 0.0

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the view of a replica set whenever its state changes."""
        match item:
            case session_items.UpstreamResponded():
                yield from self._record_response(item)
            case session_items.PositionLearned():
                yield from self._learn_position(item)
            case store_items.LeaseView():
                yield from self._update_lease(item)
            case session_items.UpstreamCallCompleted():
                yield from self._record_outcome(item)
            case session_items.UpstreamSuspected():
                self._record_suspicion(item)
            case items.MembersChanged():
                yield from self._update_members(item)
            case store_items.KeysListed():
                yield from self._apply_listing(item)
            case store_items.KeyChanged() if item.stored is not None:
                yield from self._update_record(item.key, item.stored, item.at)
            case filters.Tick():
                yield from self._expire_lease(item.at)
            case _:
                yield item

    def _update_members(
        self, item: items.MembersChanged
    ) -> Iterator[filters.Item]:
        state = self._states.setdefault(
            item.database, set_state.ReplicaSetState()
        )
        before = state.members
        state.members = {}
        state.former = item.former
        state.watched_since = item.watched_since
        for entry in item.entries:
            self._database_of[entry.upstream] = item.database
            previous = before.get(entry.upstream)
            state.members[entry.upstream] = _carry_over(previous, entry)
        for removed in before.keys() - state.members.keys():
            self._database_of.pop(removed, None)
        yield from self._publish(item.database, state, item.at)

    def _apply_listing(
        self, item: store_items.KeysListed
    ) -> Iterator[filters.Item]:
        for key, stored in item.keys.items():
            yield from self._update_record(key, stored, item.at)

    def _update_record(
        self, key: str, stored: store_items.StoredKey, now: float
    ) -> Iterator[filters.Item]:
        parsed = leadership.parse_database_record(key, stored)
        if parsed is None:
            return
        database, record = parsed
        state = self._states.setdefault(database, set_state.ReplicaSetState())
        revision = state.record.revision if state.record else 0
        if record.revision <= revision:
            return
        state.record = record
        if not record.is_failing_over and record.upstream in state.members:
            state.members[record.upstream].has_restarted = False
        state.chain.record_leadership(
            record,
            state.members.values(),
            now,
            has_lease=now < self._lease_until,
        )
        yield from self._publish(database, state, now)

    def _update_lease(
        self, item: store_items.LeaseView
    ) -> Iterator[filters.Item]:
        self._lease_until = item.valid_until
        for state in self._states.values():
            record = state.record
            state.chain.update_lease(
                item,
                is_failing_over=record is not None and record.is_failing_over,
            )
        yield from self._publish_all(item.at)

    def _publish_all(self, now: float) -> Iterator[filters.Item]:
        for database, state in self._states.items():
            yield from self._publish(database, state, now)

    def _expire_lease(self, now: float) -> Iterator[filters.Item]:
        """Republishes all views by member status once the lease has expired."""
        if self._lease_until and now >= self._lease_until:
            self._lease_until = 0.0
            yield from self._publish_all(now)

    def _record_suspicion(self, item: session_items.UpstreamSuspected) -> None:
        database = self._database_of.get(item.upstream)
        if database is None or item.write_since is None:
            return
        member = self._states[database].members[item.upstream]
        member.stalled_since = member.stalled_since or item.write_since

    def _record_response(
        self, item: session_items.UpstreamResponded
    ) -> Iterator[filters.Item]:
        database = self._database_of.get(item.upstream)
        if database is None:
            return
        state = self._states[database]
        member = state.members[item.upstream]
        previous = (member.failing_since, member.stalled_since)
        member.failing_since = None
        if item.wrote:
            member.stalled_since = None
        sampled = self._sample_primary(state, item)
        if item.applied is not None:
            yield from self._find_covered(
                database, item.upstream, item.applied, item.at
            )
        if sampled or previous != (member.failing_since, member.stalled_since):
            yield from self._publish(database, state, item.at)

    def _sample_primary(
        self,
        state: set_state.ReplicaSetState,
        item: session_items.UpstreamResponded,
    ) -> bool:
        """Adds a position sample if the reply is from a confirmed primary.

        Returns:
          Whether a sample was added.
        """
        if item.applied is None:
            return False
        state.term = max(state.term, item.applied.term.number)
        newest = state.samples[-1].at if state.samples else replica_sets.NEVER
        if (
            item.upstream != state.published.primary
            or item.sent_at >= state.published.confirmed_until
            or item.sent_at < newest + SAMPLE_INTERVAL_S
        ):
            return False
        state.add_sample(item.sent_at, item.applied)
        return True

    def _learn_position(
        self, item: session_items.PositionLearned
    ) -> Iterator[filters.Item]:
        """Adds a position that another host has read at a sure primary."""
        state = self._states.get(item.database)
        if state is not None:
            state.term = max(state.term, item.end.term.number)
            state.add_sample(item.covered_at, item.end)
            yield from self._publish(item.database, state, item.at)

    def _record_outcome(
        self, item: session_items.UpstreamCallCompleted
    ) -> Iterator[filters.Item]:
        database = self._database_of.get(item.upstream)
        if database is None:
            return
        state = self._states[database]
        member = state.members[item.upstream]
        if item.reply is not None:
            member.failing_since = None
        elif item.sent:
            member.failing_since = member.failing_since or item.requested_at
        status = item.reply.status if item.reply is not None else None
        if status is not None and item.requested_at > member.requested_at:
            member.status = status
            member.requested_at = item.requested_at
            newest = state.samples[-1].end if state.samples else None
            member.check_log(newest)
            state.term = max(state.term, status.term)
            state.chain.record_status(
                member,
                state.published,
                state.members.values(),
                item.at,
                has_silent_members=any(f.may_run for f in state.former),
            )
            state.sample_quorum(item.at)
            yield from self._find_covered(
                database, item.upstream, status.received, item.at
            )
        yield from self._publish(database, state, item.at)

    def _find_covered(
        self,
        database: str,
        upstream: str,
        received: position.Position,
        now: float,
    ) -> Iterator[filters.Item]:
        """Yields the former members that `upstream` covers, if any."""
        state = self._states[database]
        covered = state.covered_by(upstream, received, now)
        if covered:
            yield items.FormerMembersCovered(now, database, covered)

    def _publish(
        self,
        database: str,
        state: set_state.ReplicaSetState,
        now: float,
    ) -> Iterator[filters.Item]:
        before = state.published
        state.published = self._primary(state, now)
        state.term = max(state.term, state.published.term)
        if state.published.primary != before.primary:
            details = {
                "database": database,
                "primary": state.published.primary,
                "previous": before.primary,
                "term": state.term,
                "by": "record" if now < self._lease_until else "status",
            }
            yield session_items.LogDecision(now, "primary_changed", "", details)
        yield _view(database, state, now)

    def _primary(
        self, state: set_state.ReplicaSetState, now: float
    ) -> primary_state.PrimaryState:
        members = state.members.values()
        if now < self._lease_until:
            return primary_state.from_record(
                state.record, members, self._lease_until
            )
        by_status = primary_state.from_status(members)
        if by_status.primary and by_status.term >= state.term:
            return state.chain.confirm(by_status)
        return dataclasses.replace(
            state.published, confirmed_until=replica_sets.NEVER
        )


def _carry_over(
    previous: primary_state.TrackedMember | None,
    entry: replica_sets.UpstreamEntry,
) -> primary_state.TrackedMember:
    """Keeps the state of a member unless its process has restarted."""
    if previous is None or previous.entry.started_ms != entry.started_ms:
        has_restarted = previous is not None
        return primary_state.TrackedMember(entry, has_restarted=has_restarted)
    previous.entry = entry
    return previous


def _view(
    database: str, state: set_state.ReplicaSetState, now: float
) -> replica_sets.ReplicaSetView:
    members = tuple(
        replica_sets.MemberView(
            member.entry,
            member.status,
            member.requested_at,
            member.failing_since,
            member.stalled_since,
        )
        for member in state.members.values()
    )
    return replica_sets.ReplicaSetView(
        now,
        database,
        members,
        state.published.primary,
        state.term,
        state.published.confirmed_until,
        state.record is not None and state.record.is_failing_over,
        tuple(state.samples),
        state.former,
        state.watched_since,
    )
