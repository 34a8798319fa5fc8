"""Votes: which hosts find the primary of a database failing.

A vote is a key under the voter's lease, so the vote of a host that is gone
ends with it. A cut between one host and a primary is one vote only.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, replica_sets, session_items, store_items
from fescueshunt.takeover import items

if TYPE_CHECKING:
    from collections.abc import Iterator

FAILING_AFTER_S = 0.7
STALLED_AFTER_S = 1.2
RETRY_AFTER_S = 1.0


class Vote(filters.Filter):
    """Casts this host's votes and counts everybody's."""

    def __init__(self, me: str) -> None:
        self._me = me
        self._lease = 0
        self._hosts: frozenset[str] = frozenset((me,))
        self._votes: dict[str, str] = {}
        self._cast: dict[str, str] = {}
        self._cast_at: dict[str, float] = {}
        self._views: dict[str, replica_sets.ReplicaSetView] = {}

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields votes to cast, and the findings when they change."""
        match item:
            case store_items.LeaseView():
                if item.lease != self._lease:
                    self._lease = item.lease
                    self._cast.clear()
                yield item
            case store_items.KeysListed():
                self._votes = {
                    key: stored.value
                    for key, stored in item.keys.items()
                    if key.startswith(store_items.VOTES_PREFIX)
                }
                yield item
                yield from self._publish(item.at)
            case store_items.KeyChanged():
                yield item
                yield from self._change(item)
            case store_items.LiveHostsView():
                self._hosts = item.names
            case replica_sets.ReplicaSetView():
                self._views[item.database] = item
                yield item
            case filters.Tick():
                yield from self._cast_votes(item.at)
                if self._votes:
                    yield from self._publish(item.at)
                yield item
            case _:
                yield item

    def _change(self, item: store_items.KeyChanged) -> Iterator[filters.Item]:
        if not item.key.startswith(store_items.VOTES_PREFIX):
            return
        if item.stored is None:
            self._votes.pop(item.key, None)
        else:
            self._votes[item.key] = item.stored.value
        yield from self._publish(item.at)

    def _cast_votes(self, now: float) -> Iterator[filters.Item]:
        if not self._lease:
            return
        for database, view in self._views.items():
            found = view.primary if _is_failing(view, now) else ""
            cast = self._cast.get(database, "")
            waited_s = now - self._cast_at.get(database, 0.0)
            key = self._key(database, self._me)
            lost = found and self._votes.get(key) != found
            if found == cast and not (lost and waited_s > RETRY_AFTER_S):
                continue
            self._cast[database] = found
            self._cast_at[database] = now
            details = {"database": database, "failing": found}
            yield session_items.LogDecision(now, "vote", "", details)
            yield store_items.WriteKey(
                now, key, found or None, self._lease if found else 0, None
            )

    def _publish(self, now: float) -> Iterator[filters.Item]:
        for database, view in self._views.items():
            votes = sum(
                self._votes.get(self._key(database, host)) == view.primary
                for host in self._hosts
            )
            yield items.FindingsView(
                now, database, view.primary, votes, len(self._hosts)
            )

    def _key(self, database: str, host: str) -> str:
        return f"{store_items.VOTES_PREFIX}{database}/{host}"


def _is_failing(view: replica_sets.ReplicaSetView, now: float) -> bool:
    member = view.member(view.primary)
    if member is None:
        return False
    failing_since = member.failing_since
    stalled_since = member.stalled_since
    if failing_since is not None and now - failing_since > FAILING_AFTER_S:
        return True
    return stalled_since is not None and now - stalled_since > STALLED_AFTER_S
