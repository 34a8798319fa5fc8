"""Tracks who is primary, and which positions cover which commits.

A commit is acknowledged once the primary and one replica have it, so it stands
on two members at least, and all members but one have it among them.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    replica_sets,
    session_items,
    sessions,
)
from fescueshunt.replicas import items

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_SAMPLES = 64
# Two members' word that they know of no higher term can't both be missing from
# a fence of all members but one.
CONFIRMING_MEMBERS = 2


@dataclasses.dataclass(slots=True)
class Tracked:
    """A member: its entry and its last word."""

    entry: replica_sets.Entry
    standing: sessions.Standing | None = None
    asked_at: float = replica_sets.NEVER
    failing_since: float | None = None


@dataclasses.dataclass(slots=True)
class ReplicaSet:
    """What is known of a replica set."""

    members: dict[str, Tracked] = dataclasses.field(default_factory=dict)
    primary: str = ""
    term: int = 0
    confirmed_at: float = replica_sets.NEVER
    samples: collections.deque[replica_sets.Sample] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )


class Track(filters.Filter):
    """Turns members and their words into the view of each replica set."""

    def __init__(self) -> None:
        self._sets: dict[str, ReplicaSet] = {}
        self._database_of: dict[str, str] = {}

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the view of a replica set when something of it is news."""
        match item:
            case items.MembersChanged():
                yield from self._change(item)
            case session_items.UpstreamAnswered():
                yield from self._hear(item)
            case _:
                yield item

    def _change(self, item: items.MembersChanged) -> Iterator[filters.Item]:
        found = self._sets.setdefault(item.database, ReplicaSet())
        before = found.members
        found.members = {}
        for entry in item.entries:
            self._database_of[entry.upstream] = item.database
            known = before.get(entry.upstream)
            found.members[entry.upstream] = _renew(known, entry)
        for gone in before.keys() - found.members.keys():
            self._database_of.pop(gone, None)
        if found.primary not in found.members:
            found.primary = ""
        yield _view(item.database, found, item.at)

    def _hear(
        self, item: session_items.UpstreamAnswered
    ) -> Iterator[filters.Item]:
        database = self._database_of.get(item.upstream)
        if database is None:
            return
        found = self._sets[database]
        member = found.members[item.upstream]
        if item.reply is not None:
            member.failing_since = None
        elif item.sent:
            member.failing_since = member.failing_since or item.asked_at
        standing = item.reply.standing if item.reply is not None else None
        if standing is not None and item.asked_at > member.asked_at:
            member.standing = standing
            member.asked_at = item.asked_at
            yield from _follow(database, found, item.at)
            _confirm(found)
            _sample(found)
        yield _view(database, found, item.at)


def _renew(known: Tracked | None, entry: replica_sets.Entry) -> Tracked:
    """Keeps what a member said, unless its process has started anew."""
    if known is None or known.entry.born_ms != entry.born_ms:
        return Tracked(entry)
    known.entry = entry
    return known


def _follow(
    database: str, found: ReplicaSet, now: float
) -> Iterator[filters.Item]:
    """Finds the primary of the highest term."""
    leading = [
        (member.standing.term, name)
        for name, member in found.members.items()
        if member.standing is not None
        and member.standing.role is sessions.ReplicaRole.PRIMARY
    ]
    term, name = max(leading, default=(found.term, ""))
    if term < found.term:
        name = ""
    if (name, term) == (found.primary, found.term):
        return
    details = {
        "database": database,
        "primary": name,
        "term": term,
        "previous": found.primary,
        "previous_term": found.term,
    }
    found.primary = name
    found.term = max(term, found.term)
    found.confirmed_at = replica_sets.NEVER
    yield session_items.Decided(now, "primary_changed", "", details)


def _confirm(found: ReplicaSet) -> None:
    """Notes up to when no other primary can have been promoted."""
    if not found.primary:
        return
    times = sorted(
        (
            member.asked_at
            for member in found.members.values()
            if _knows_no_higher_term(member.standing, found.term)
        ),
        reverse=True,
    )
    needed = min(CONFIRMING_MEMBERS, len(found.members))
    if len(times) >= needed:
        found.confirmed_at = max(found.confirmed_at, times[needed - 1])


def _knows_no_higher_term(
    standing: sessions.Standing | None, term: int
) -> bool:
    return (
        standing is not None
        and standing.term <= term
        and standing.held_term <= term
    )


def _sample(found: ReplicaSet) -> None:
    """Notes a position that covers every commit acked up to a moment."""
    primary = found.members.get(found.primary)
    if (
        primary is not None
        and primary.standing is not None
        and primary.standing.role is sessions.ReplicaRole.PRIMARY
        and primary.asked_at < found.confirmed_at + replica_sets.CONFIRM_S
    ):
        _add_sample(found, primary.asked_at, primary.standing.received)
    heard = sorted(
        (
            member
            for member in found.members.values()
            if member.standing is not None
        ),
        key=lambda member: member.asked_at,
        reverse=True,
    )
    needed = max(len(found.members) - 1, 1)
    if len(heard) >= needed:
        newest = heard[:needed]
        end = max(member.standing.received for member in newest)
        _add_sample(found, newest[-1].asked_at, end)


def _add_sample(found: ReplicaSet, at: float, end: object) -> None:
    if found.samples and at <= found.samples[-1].at:
        return
    if found.samples:
        end = max(end, found.samples[-1].end)
    found.samples.append(replica_sets.Sample(at, end))


def _view(
    database: str, found: ReplicaSet, now: float
) -> replica_sets.ReplicaSetView:
    members = tuple(
        replica_sets.MemberView(
            member.entry,
            member.standing,
            member.asked_at,
            member.failing_since,
        )
        for member in found.members.values()
    )
    return replica_sets.ReplicaSetView(
        now,
        database,
        members,
        found.primary,
        found.term,
        found.confirmed_at,
        tuple(found.samples),
    )
