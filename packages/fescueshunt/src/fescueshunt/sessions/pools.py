"""The connections of this host to every upstream: opened, kept, closed."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from fescueshunt.core import replica_sets, routes, session_items
from fescueshunt.sessions import pool

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator, Mapping

    from fescueshunt.core import filters

OPEN_TIMEOUT_S = 1.0
# After an upstream had no connection left, hosts take turns for this long.
MULTIPLEXING_S = 1.0


class Pools:
    """The pools by upstream, and the links by number."""

    def __init__(self, chance: random.Random) -> None:
        self.by_upstream: dict[str, pool.Pool] = {}
        self.links: dict[int, pool.Link] = {}
        self._chance = chance
        self._numbers = itertools.count(1)
        self._hosts = 1
        self._policies: dict[str, routes.ReplicaSetPolicy] = {}
        self._multiplexing_until = 0.0

    def set_hosts(self, count: int) -> None:
        """Shares connections out between `count` hosts."""
        self._hosts = max(count, 1)
        self._share_out()

    def set_policies(self, view: routes.RoutesView) -> None:
        """Takes over how many connections the upstreams take."""
        self._policies = dict(view.databases)
        self._share_out()

    def set_members(
        self, view: replica_sets.ReplicaSetView
    ) -> Iterator[pool.Link]:
        """Keeps a pool for each member; yields links of those that left."""
        names = set()
        for member in view.members:
            names.add(member.upstream)
            kept = self.by_upstream.get(member.upstream)
            if kept is None:
                kept = pool.Pool(member.entry)
                self.by_upstream[member.upstream] = kept
                self._share_out()
            elif kept.entry.address != member.entry.address:
                yield from list(kept.links.values())
            kept.entry = member.entry
        for upstream, kept in list(self.by_upstream.items()):
            if kept.entry.database == view.database and upstream not in names:
                yield from list(kept.links.values())
                del self.by_upstream[upstream]

    def set_permanent(self, permanent: Mapping[str, bool]) -> None:
        """Takes over to which upstreams a connection is always kept."""
        for upstream, is_permanent in permanent.items():
            if upstream in self.by_upstream:
                self.by_upstream[upstream].is_permanent = is_permanent

    def open(self, kept: pool.Pool, now: float) -> filters.Item:
        """Begins to open a link."""
        link = pool.Link(next(self._numbers), kept.entry.upstream, now)
        kept.links[link.number] = link
        self.links[link.number] = link
        return session_items.OpenLink(now, link.number, kept.entry)

    def close(self, link: pool.Link, now: float) -> filters.Item:
        """Closes a link and forgets it."""
        self.remove(link)
        return session_items.CloseLink(now, link.number)

    def remove(self, link: pool.Link) -> None:
        """Forgets a link that is closed or being closed."""
        self.links.pop(link.number, None)
        kept = self.by_upstream.get(link.upstream)
        if kept is not None:
            kept.links.pop(link.number, None)

    def failed(self, link: pool.Link, now: float) -> None:
        """Notes that a link could not be opened."""
        kept = self.by_upstream.get(link.upstream)
        if kept is not None:
            kept.reconnect.record_failure(now, self._chance)

    def reached_limit(self, link: pool.Link, now: float) -> None:
        """Notes that an upstream had no connection left for a link."""
        self._multiplexing_until = now + MULTIPLEXING_S
        kept = self.by_upstream.get(link.upstream)
        if kept is not None:
            kept.reached_limit(now, self._chance)

    def upkeep(self, now: float) -> Iterator[filters.Item]:
        """Opens the permanent links that are missing, unless hosts take turns.

        Right after many hosts have started, the upstreams still count the
        connections of their former lives.
        """
        multiplexing = now < self._multiplexing_until
        for kept in self.by_upstream.values():
            if multiplexing and kept.share <= pool.SCARCE_SHARE:
                continue
            leaving = kept.entry.draining or not kept.entry.listed
            missing = kept.is_permanent and not kept.links and not leaving
            if missing and kept.may_open(now):
                yield self.open(kept, now)

    def surplus(self, now: float) -> list[pool.Link]:
        """Returns the idle links to close."""
        multiplexing = now < self._multiplexing_until
        return [
            link
            for kept in self.by_upstream.values()
            for link in kept.surplus(now, multiplexing)
        ]

    def overdue(self, now: float) -> list[pool.Link]:
        """Returns the links that took too long to open."""
        return [
            link
            for link in self.links.values()
            if link.state is pool.LinkState.OPENING
            and now - link.since > OPEN_TIMEOUT_S
        ]

    def _share_out(self) -> None:
        for kept in self.by_upstream.values():
            policy = self._policies.get(kept.entry.database)
            if policy is not None:
                most = policy.max_connections
                kept.share = max(most // self._hosts, 1)
                spare = max(most - kept.share * self._hosts, 0)
                kept.most = kept.share + int(spare * pool.BORROWED_SHARE)
