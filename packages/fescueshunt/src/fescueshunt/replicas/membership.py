"""Which upstreams exist, from what they write into the platform's store.

An entry that is gone may belong to an upstream that only lost the store. It
could still acknowledge commits, so it is asked, and stays a member until it is
known to be away or has said nothing for FORGET_AFTER_S. An entry of a replica
set that no operator has named is another program's and names no upstream.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

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

FORGET_AFTER_S = 4.0
ASK_EVERY_S = 1.0
NOT_LISTED = "not listed"


@dataclasses.dataclass(slots=True)
class Known:
    """An upstream that is or was listed.

    Attributes:
      unlisted_at: when its entry went, or None.
      heard_at: when it last answered.
      leaving_at: when it was first seen to be leaving, or None.
      ask_at: when it is asked next whether it is there, while not listed.
    """

    entry: replica_sets.UpstreamEntry
    unlisted_at: float | None = None
    ask_at: float = 0.0
    heard_at: float = replica_sets.NEVER
    draining_since: float | None = None


class Membership(filters.Filter):
    """Keeps the members of every database."""

    def __init__(self) -> None:
        self._known: dict[str, Known] = {}
        self._databases: frozenset[str] = frozenset()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the members of a database when they change."""
        match item:
            case routes.RoutesView():
                yield from self._name(item)
            case store_items.EntriesListed():
                yield from self._list(item)
            case store_items.EntryChanged():
                yield from self._change(item.entry, item.at)
            case store_items.EntryRemoved():
                yield from self._remove(item.upstream, item.at)
            case session_items.UpstreamCallCompleted():
                yield from self._hear(item)
                yield item
            case session_items.UpstreamResponded():
                if item.upstream in self._known:
                    self._known[item.upstream].heard_at = item.at
                yield item
            case filters.Tick():
                yield from self._ask(item.at)
                yield from self._forget(item.at)
                yield item
            case _:
                yield item

    def _name(self, item: routes.RoutesView) -> Iterator[filters.Item]:
        """Takes over the replica sets' names; one once named stays."""
        added = frozenset(item.databases) - self._databases
        self._databases |= added
        known = {one.entry.database for one in self._known.values()}
        for database in sorted(added & known):
            yield from self._members_of(database, item.at)

    def _list(self, item: store_items.EntriesListed) -> Iterator[filters.Item]:
        listed = {entry.upstream for entry in item.entries}
        for upstream in self._known.keys() - listed:
            yield from self._remove(upstream, item.at)
        for entry in item.entries:
            yield from self._change(entry, item.at)

    def _change(
        self, entry: replica_sets.UpstreamEntry, now: float
    ) -> Iterator[filters.Item]:
        known = self._known.get(entry.upstream)
        if known is not None and known.entry == entry:
            if known.unlisted_at is not None:
                known.unlisted_at = None
                yield from self._members_of(entry.database, now)
            return
        draining_since = known.draining_since if known is not None else None
        if not entry.draining:
            draining_since = None
        elif draining_since is None:
            draining_since = now
        self._known[entry.upstream] = Known(
            entry, draining_since=draining_since
        )
        yield from self._members_of(entry.database, now)

    def _remove(self, upstream: str, now: float) -> Iterator[filters.Item]:
        known = self._known.get(upstream)
        if known is None or known.unlisted_at is not None:
            return
        known.unlisted_at = now
        known.ask_at = now + ASK_EVERY_S
        yield from self._members_of(known.entry.database, now)

    def _hear(
        self, item: session_items.UpstreamCallCompleted
    ) -> Iterator[filters.Item]:
        known = self._known.get(item.upstream)
        if known is None:
            return
        if item.reply is not None:
            known.heard_at = item.at
        if item.refused and known.unlisted_at is not None:
            yield from self._drop(item.upstream, item.at)

    def _ask(self, now: float) -> Iterator[filters.Item]:
        for upstream, known in self._known.items():
            if known.unlisted_at is not None and now >= known.ask_at:
                known.ask_at = now + ASK_EVERY_S
                yield session_items.UpstreamSuspected(now, upstream, NOT_LISTED)

    def _forget(self, now: float) -> Iterator[filters.Item]:
        silent = [
            upstream
            for upstream, known in self._known.items()
            if known.unlisted_at is not None
            and now - max(known.unlisted_at, known.heard_at) > FORGET_AFTER_S
        ]
        for upstream in silent:
            yield from self._drop(upstream, now)

    def _drop(self, upstream: str, now: float) -> Iterator[filters.Item]:
        gone = self._known.pop(upstream)
        yield from self._members_of(gone.entry.database, now)

    def _members_of(self, database: str, now: float) -> Iterator[filters.Item]:
        if database not in self._databases:
            return
        members = tuple(
            dataclasses.replace(
                known.entry,
                listed=known.unlisted_at is None,
                draining_since=known.draining_since,
            )
            for known in self._known.values()
            if known.entry.database == database
        )
        yield items.MembersChanged(now, database, members)
