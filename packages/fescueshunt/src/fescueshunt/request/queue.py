"""The queue and the pool of each upstream at its home.

One queue sees all the work for an upstream, the most urgent rank first. Slots
bound what runs; the pool opens connections as work needs them.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import (
    document,
    filters,
    views,
)
from fescueshunt.core import (
    items as core_items,
)
from fescueshunt.request import items, outcome

if TYPE_CHECKING:
    from collections.abc import Iterator

POOL_SHARE = 1 / 3


@dataclasses.dataclass(slots=True)
class Pool:
    """The queue and the connections of one upstream."""

    database: str
    upstream: str
    address: str
    slots: int
    connections: int
    queues: dict[int, collections.deque[items.Work]] = dataclasses.field(
        default_factory=dict
    )
    idle: list[int] = dataclasses.field(default_factory=list)
    opening: set[int] = dataclasses.field(default_factory=set)
    running: dict[int, items.Work] = dataclasses.field(default_factory=dict)

    @property
    def queued(self) -> int:
        """How many pieces of work wait."""
        return sum(len(queue) for queue in self.queues.values())

    @property
    def size(self) -> int:
        """How many connections are open or being opened."""
        return len(self.idle) + len(self.opening) + len(self.running)


@dataclasses.dataclass(slots=True)
class QueueState:
    """What the queues remember; pools are keyed by (database, upstream)."""

    settings: document.Document = document.Document()
    pools: dict[tuple[str, str], Pool] = dataclasses.field(default_factory=dict)
    owners: dict[int, Pool] = dataclasses.field(default_factory=dict)


class Queue(filters.Filter):
    """Starts placed work when a slot and a connection are free."""

    def __init__(self) -> None:
        self._state = QueueState()
        self._conns = itertools.count(1)

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields starts, opens and refusals; consumes releases."""
        match item:
            case items.Placed():
                yield from self._place(item)
            case items.Released():
                yield from self._release(item)
            case core_items.UpstreamOpened():
                yield from self._opened(item)
            case core_items.UpstreamFailed():
                yield from self._failed(item)
            case views.SettingsView():
                self._state.settings = item.document
                yield item
            case filters.Tick():
                yield from self._cut(item.at)
                yield item
            case _:
                yield item

    def _place(self, item: items.Placed) -> Iterator[filters.Item]:
        pool = self._pool(item.work.req.database, item.upstream)
        order = item.work.rank.order
        queue = pool.queues.setdefault(order, collections.deque())
        queue.append(item.work)
        yield from self._serve(pool, item.at)

    def _pool(self, database: str, upstream: str) -> Pool:
        key = (database, upstream)
        if key not in self._state.pools:
            declared = self._state.settings.database(database)
            group = self._state.settings.group(declared.group)
            self._state.pools[key] = Pool(
                database,
                upstream,
                declared.find(upstream).address,
                group.slots,
                max(int(group.connections * POOL_SHARE), 1),
            )
        return self._state.pools[key]

    def _serve(self, pool: Pool, now: float) -> Iterator[filters.Item]:
        while pool.queued and len(pool.running) < pool.slots:
            if not pool.idle:
                yield from self._open(pool, now)
                return
            conn = pool.idle.pop()
            work = _next(pool)
            pool.running[conn] = work
            yield items.Started(now, work, pool.upstream, conn)

    def _open(self, pool: Pool, now: float) -> Iterator[filters.Item]:
        wanted = min(pool.queued, pool.slots - len(pool.running))
        while len(pool.opening) < wanted and pool.size < pool.connections:
            conn = next(self._conns)
            pool.opening.add(conn)
            self._state.owners[conn] = pool
            yield core_items.OpenUpstream(
                now, conn, pool.database, pool.upstream, pool.address
            )

    def _opened(
        self, item: core_items.UpstreamOpened
    ) -> Iterator[filters.Item]:
        pool = self._state.owners[item.conn]
        pool.opening.discard(item.conn)
        pool.idle.append(item.conn)
        yield from self._serve(pool, item.at)

    def _release(self, item: items.Released) -> Iterator[filters.Item]:
        pool = self._state.owners.get(item.conn)
        if pool is None:
            return
        pool.running.pop(item.conn, None)
        if item.reusable:
            pool.idle.append(item.conn)
        else:
            del self._state.owners[item.conn]
            yield core_items.CloseUpstream(item.at, item.conn)
        yield from self._serve(pool, item.at)

    def _failed(
        self, item: core_items.UpstreamFailed
    ) -> Iterator[filters.Item]:
        pool = self._state.owners.pop(item.conn, None)
        if pool is not None:
            if item.conn in pool.idle:
                pool.idle.remove(item.conn)
            was_opening = item.conn in pool.opening
            pool.opening.discard(item.conn)
            pool.running.pop(item.conn, None)
            if was_opening:
                yield from self._return_all(pool, item)
        yield item

    def _return_all(
        self, pool: Pool, item: core_items.UpstreamFailed
    ) -> Iterator[filters.Item]:
        if pool.size:
            return
        for queue in pool.queues.values():
            while queue:
                work = queue.popleft()
                yield items.Retried(
                    item.at,
                    dataclasses.replace(
                        work,
                        error=item.error,
                        avoid=work.avoid | {pool.upstream},
                        suggested="",
                    ),
                )

    def _cut(self, now: float) -> Iterator[filters.Item]:
        for pool in self._state.pools.values():
            for queue in pool.queues.values():
                late = [w for w in queue if w.deadline <= now]
                for work in late:
                    queue.remove(work)
                    yield outcome.refuse(now, work, errors.OverloadedError())
            yield from self._serve(pool, now)


def _next(pool: Pool) -> items.Work:
    for order in sorted(pool.queues):
        if pool.queues[order]:
            return pool.queues[order].popleft()
    raise errors.OverloadedError("no work is queued")
