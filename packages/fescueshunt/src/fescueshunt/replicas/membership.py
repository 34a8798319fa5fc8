"""Tracks the members of replica sets by their entries in the store.

An upstream whose entry was removed may only have lost its connection to the
store and could still acknowledge commits. It is therefore polled, and it stays
a member until another upstream answers at its address or it has not answered
for UNLISTED_TIMEOUT_S. Even then it, or its successor, may acknowledge commits,
so it is reported as silent for FORMER_MEMBER_TTL_S, or until another upstream
is listed at its address.

An upstream that leaves as planned reports that it drains, serves at least
MIN_DRAIN_S, and ends; then its entry is removed. If a connection to its address
is refused after that, it has left: it does not run any more. That its entry is
missing proves nothing, as entries also expire while the store is down.

An entry whose replica set is not in the operator's document belongs to another
program and is ignored.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import (
    filters,
    replica_sets,
    routes,
    session_items,
    store_items,
)
from fescueshunt.replicas import items

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
      has_left: whether it is known to have left as planned.
    """

    entry: replica_sets.UpstreamEntry
    unlisted_at: float | None = None
    poll_at: float = 0.0
    answered_at: float = replica_sets.NEVER
    draining_since: float | None = None
    has_left: bool = False


class Membership(filters.Filter):
    """Tracks the members of every replica set."""

    def __init__(self) -> None:
        self._upstreams: dict[str, KnownUpstream] = {}
        self._silent_upstreams: dict[str, KnownUpstream] = {}
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
            case store_items.EntryRemoved():
                yield from self._mark_unlisted(item.upstream, item.at)
            case session_items.UpstreamCallCompleted():
                yield from self._record_outcome(item)
                yield item
            case session_items.UpstreamResponded():
                if item.upstream in self._upstreams:
                    self._upstreams[item.upstream].answered_at = item.at
                yield item
            case session_items.UpstreamSuspected():
                if self._has_left(item):
                    self._upstreams[item.upstream].has_left = True
                    yield from self._drop(item.upstream, item.at)
                else:
                    yield item
            case filters.Tick():
                yield from self._poll_unlisted(item.at)
                yield from self._drop_silent(item.at)
                yield from self._forget_silent(item.at)
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
        listed = {entry.upstream for entry in item.entries}
        for upstream in self._upstreams.keys() - listed:
            yield from self._mark_unlisted(upstream, item.at)
        for entry in item.entries:
            yield from self._update(entry, item.at)

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
        draining_since = state.draining_since if state is not None else None
        if not entry.draining:
            draining_since = None
        elif draining_since is None:
            draining_since = now
        self._upstreams[entry.upstream] = KnownUpstream(
            entry, draining_since=draining_since
        )
        self._silent_upstreams.pop(entry.upstream, None)
        yield from self._forget_replaced(entry.address, now)
        yield from self._members_of(entry.database, now)

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
            state.answered_at = item.at
        if item.refused and state.unlisted_at is not None:
            yield from self._drop(item.upstream, item.at)

    def _has_left(self, item: session_items.UpstreamSuspected) -> bool:
        """Returns whether an upstream is now known to have left as planned."""
        state = self._upstreams.get(item.upstream)
        if state is None or state.unlisted_at is None:
            return False
        if state.draining_since is None:
            return False
        is_drained = item.at - state.draining_since >= MIN_DRAIN_S
        return is_drained and item.reason == errors.NobodyListensError.code

    def _poll_unlisted(self, now: float) -> Iterator[filters.Item]:
        for upstream, state in self._upstreams.items():
            if state.unlisted_at is not None and now >= state.poll_at:
                state.poll_at = now + POLL_INTERVAL_S
                yield session_items.UpstreamSuspected(now, upstream, NOT_LISTED)

    def _drop_silent(self, now: float) -> Iterator[filters.Item]:
        silent = [
            upstream
            for upstream, state in self._upstreams.items()
            if state.unlisted_at is not None
            and now - max(state.unlisted_at, state.answered_at)
            > UNLISTED_TIMEOUT_S
        ]
        for upstream in silent:
            yield from self._drop(upstream, now)

    def _forget_silent(self, now: float) -> Iterator[filters.Item]:
        expired = [
            upstream
            for upstream, state in self._silent_upstreams.items()
            if now - state.unlisted_at > replica_sets.FORMER_MEMBER_TTL_S
        ]
        yield from self._forget(expired, now)

    def _forget_replaced(
        self, address: str, now: float
    ) -> Iterator[filters.Item]:
        """Forgets silent upstreams whose address another upstream now has."""
        replaced = [
            upstream
            for upstream, state in self._silent_upstreams.items()
            if state.entry.address == address
        ]
        yield from self._forget(replaced, now)

    def _forget(
        self, upstreams: list[str], now: float
    ) -> Iterator[filters.Item]:
        for upstream in upstreams:
            forgotten = self._silent_upstreams.pop(upstream)
            yield from self._members_of(forgotten.entry.database, now)

    def _drop(self, upstream: str, now: float) -> Iterator[filters.Item]:
        """Drops a member, which counts as silent until its address is reused.

        If another upstream already runs there, but is not listed yet, that one
        may acknowledge commits.
        """
        dropped = self._upstreams.pop(upstream)
        is_replaced = any(
            state.unlisted_at is None
            and state.entry.address == dropped.entry.address
            for state in self._upstreams.values()
        )
        if not is_replaced:
            self._silent_upstreams[upstream] = dropped
        yield from self._members_of(dropped.entry.database, now)

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
        former = [
            (upstream, state.has_left)
            for upstream, state in self._silent_upstreams.items()
            if state.entry.database == database
        ]
        silent = frozenset(name for name, has_left in former if not has_left)
        left = frozenset(name for name, has_left in former if has_left)
        yield items.MembersChanged(
            now, database, members, silent, left, self._watched_since
        )
