"""Votes on failing primaries: each host writes its own vote to the store.

A vote is a key under the voter's lease, so it is removed when the lease of a
failed host ends. A network partition between a single host and a primary gives
only one vote.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    replica_sets,
    session_items,
    sessions,
    store_items,
)
from fescueshunt.takeover import items

if TYPE_CHECKING:
    from collections.abc import Iterator

FAILING_AFTER_S = 0.7
STALLED_AFTER_S = 1.2
RETRY_AFTER_S = 1.0


class Voter(filters.Filter):
    """Casts this host's votes and counts the votes of all live hosts."""

    def __init__(self, host_name: str) -> None:
        self._host_name = host_name
        self._lease = 0
        self._hosts: frozenset[str] = frozenset((host_name,))
        self._votes: dict[str, str] = {}
        self._own_votes: dict[str, str] = {}
        self._own_votes_changed_at: dict[str, float] = {}
        self._views: dict[str, replica_sets.ReplicaSetView] = {}
        self._primary_since: dict[str, float] = {}

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the votes to cast, and the vote count of each database."""
        match item:
            case store_items.LeaseView():
                if item.lease != self._lease:
                    self._lease = item.lease
                    self._own_votes.clear()
                yield item
            case store_items.KeysListed():
                self._votes = {
                    key: stored.value
                    for key, stored in item.keys.items()
                    if key.startswith(store_items.VOTES_PREFIX)
                    and store_items.is_leased(stored)
                }
                yield item
                yield from self._count_votes(item.at)
            case store_items.KeyChanged():
                yield item
                yield from self._apply_change(item)
            case store_items.LiveHostsView():
                self._hosts = item.names
            case replica_sets.ReplicaSetView():
                self._update_view(item)
                yield item
            case filters.Tick():
                yield from self._cast_votes(item.at)
                if self._votes:
                    yield from self._count_votes(item.at)
                yield item
            case _:
                yield item

    def _update_view(self, view: replica_sets.ReplicaSetView) -> None:
        known = self._views.get(view.database)
        if known is None or known.primary != view.primary:
            self._primary_since[view.database] = view.at
        self._views[view.database] = view

    def _apply_change(
        self, item: store_items.KeyChanged
    ) -> Iterator[filters.Item]:
        if not item.key.startswith(store_items.VOTES_PREFIX):
            return
        if store_items.is_leased(item.stored):
            self._votes[item.key] = item.stored.value
        else:
            self._votes.pop(item.key, None)
        yield from self._count_votes(item.at)

    def _cast_votes(self, now: float) -> Iterator[filters.Item]:
        if not self._lease:
            return
        for database, view in self._views.items():
            since = self._primary_since[database]
            is_failing = _is_failing(view, now) or _is_demoted(view, since)
            failing_primary = view.primary if is_failing else ""
            own_vote = self._own_votes.get(database, "")
            elapsed_s = now - self._own_votes_changed_at.get(database, 0.0)
            key = self._vote_key(database, self._host_name)
            # A write may be lost, or carried out after a later one.
            is_outdated = self._votes.get(key, "") != failing_primary
            if failing_primary == own_vote and not (
                is_outdated and elapsed_s > RETRY_AFTER_S
            ):
                continue
            self._own_votes[database] = failing_primary
            self._own_votes_changed_at[database] = now
            details = {"database": database, "failing": failing_primary}
            yield session_items.LogDecision(now, "vote", "", details)
            yield store_items.WriteKey(
                now,
                key,
                failing_primary or None,
                self._lease if failing_primary else 0,
                None,
            )

    def _count_votes(self, now: float) -> Iterator[filters.Item]:
        for database, view in self._views.items():
            votes = sum(
                self._votes.get(self._vote_key(database, host)) == view.primary
                for host in self._hosts
            )
            yield items.FailureVotesView(
                now, database, view.primary, votes, len(self._hosts)
            )

    def _vote_key(self, database: str, host: str) -> str:
        return f"{store_items.VOTES_PREFIX}{database}/{host}"


def _is_demoted(view: replica_sets.ReplicaSetView, since: float) -> bool:
    """Returns whether the primary, known since then, says it is a replica."""
    member = view.member(view.primary)
    if member is None or member.status is None or member.requested_at < since:
        return False
    return member.status.role is sessions.ReplicaRole.REPLICA


def _is_failing(view: replica_sets.ReplicaSetView, now: float) -> bool:
    member = view.member(view.primary)
    if member is None:
        return False
    failing_since = member.failing_since
    stalled_since = member.stalled_since
    if failing_since is not None and now - failing_since > FAILING_AFTER_S:
        return True
    return stalled_since is not None and now - stalled_since > STALLED_AFTER_S
