"""The queue and the pool of each upstream at its home.

One queue sees all the work for an upstream. Slots bound what runs; the pool
keeps connections warm and opens more as work needs them.
"""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import (
    document,
    filters,
    homes,
    identity,
    request,
    views,
)
from fescueshunt.core import (
    items as core_items,
)
from fescueshunt.request import items, outcome, pool, surge

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Iterator

    from fescueshunt.core import schedule

MIN_RETRY_AFTER_S = 0.05


@dataclasses.dataclass(slots=True)
class QueueState:
    """What the queues remember; pools are keyed by (database, upstream)."""

    settings: document.Document = document.Document()
    fleet: views.FleetView = views.FleetView(0.0, ())
    surge: surge.SurgeView = surge.SurgeView(0.0)
    pools: dict[tuple[str, str], pool.Pool] = dataclasses.field(
        default_factory=dict
    )
    owners: dict[int, pool.Pool] = dataclasses.field(default_factory=dict)


class Queue(filters.Filter):
    """Starts placed work when a slot and a connection are free."""

    def __init__(
        self,
        me: identity.Identity,
        placement: homes.Homes,
        make_schedule: Callable[[], schedule.Scheduler],
        chance: random.Random,
    ) -> None:
        self._me = me
        self._homes = placement
        self._make_schedule = make_schedule
        self._chance = chance
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
                yield item
            case filters.Tick():
                yield from self._tick(item.at)
                yield item
            case surge.SurgeView() | views.SettingsView() | views.FleetView():
                self._note_view(item)
                yield item
                yield from self._tick(item.at)
            case _:
                yield item

    def _note_view(self, item: filters.Item) -> None:
        match item:
            case surge.SurgeView():
                self._state.surge = item
            case views.SettingsView():
                self._state.settings = item.document
            case views.FleetView():
                self._state.fleet = item
        self._review_pools()

    def _review_pools(self) -> None:
        """Opens pools for what this proxy is home to; cools all others."""
        for found in self._state.pools.values():
            found.warm = 0
        settings = self._state.settings
        for database, member in _members(settings.databases):
            home = self._homes.home_of(
                database.name, member, self._state.fleet, self._me.name
            )
            if home == self._me.name and not member.draining:
                found = self._pool(database.name, member.name)
                found.warm = self._warm(found)
        floors = dict(self._state.surge.floors)
        for found in self._state.pools.values():
            found.queue.set_floors(floors)

    def _warm(self, found: pool.Pool) -> int:
        surged = int(found.connections * self._state.surge.warm)
        return min(max(found.slots, surged), found.connections)

    def _pool(self, database: str, upstream: str) -> pool.Pool:
        key = (database, upstream)
        declared = self._state.settings.database(database)
        group = self._state.settings.group(declared.group)
        found = self._state.pools.get(key)
        if found is None:
            found = pool.Pool(
                database, upstream, "", 0, 0, self._make_schedule()
            )
            self._state.pools[key] = found
        found.address = declared.find(upstream).address
        found.slots = self._homes.slots(group, self._state.fleet)
        found.connections = self._homes.connections(group, self._state.fleet)
        return found

    def _place(self, item: items.Placed) -> Iterator[filters.Item]:
        key = (item.work.req.database, item.upstream)
        found = self._state.pools.get(key) or self._pool(*key)
        if found.is_unreachable(item.at):
            error = errors.ConnectionLostError(found.upstream)
            yield _return(item.at, item.work, found, error)
            return
        wait_s = found.queue.offer(item.work, item.at, found.seen_slots())
        if wait_s is not None:
            yield _refuse(item.at, item.work, found, wait_s)
            return
        yield from self._serve(found, item.at)

    def _serve(self, found: pool.Pool, now: float) -> Iterator[filters.Item]:
        while found.idle and found.has_free_slot():
            work, late = found.queue.pop(now, found.seen_slots())
            for refused in late:
                yield _refuse(now, refused, found, 0.0)
            if work is None:
                break
            conn = next(reversed(found.idle))
            found.start(conn, work, now)
            yield items.Started(now, work, found.upstream, conn)
        yield from self._open(found, now)

    def _open(self, found: pool.Pool, now: float) -> Iterator[filters.Item]:
        for _ in range(found.wanted(now)):
            conn = next(self._conns)
            found.opening.add(conn)
            self._state.owners[conn] = found
            yield core_items.OpenUpstream(
                now, conn, found.database, found.upstream, found.address
            )

    def _opened(
        self, item: core_items.UpstreamOpened
    ) -> Iterator[filters.Item]:
        found = self._state.owners[item.conn]
        found.opening.discard(item.conn)
        found.reconnect.record_success()
        found.idle[item.conn] = item.at
        yield from self._serve(found, item.at)

    def _release(self, item: items.Released) -> Iterator[filters.Item]:
        found = self._state.owners.get(item.conn)
        if found is None:
            return
        found.stop(item.conn, item.at, item.reusable)
        if item.reusable:
            found.idle[item.conn] = item.at
        else:
            yield self._close(item.conn, item.at)
        yield from self._serve(found, item.at)

    def _close(self, conn: int, now: float) -> core_items.CloseUpstream:
        found = self._state.owners.pop(conn)
        found.idle.pop(conn, None)
        return core_items.CloseUpstream(now, conn)

    def _failed(
        self, item: core_items.UpstreamFailed
    ) -> Iterator[filters.Item]:
        found = self._state.owners.pop(item.conn, None)
        if found is None:
            return
        found.idle.pop(item.conn, None)
        found.stop(item.conn, item.at, ran=False)
        if item.conn not in found.opening:
            return
        found.opening.discard(item.conn)
        found.reconnect.record_failure(item.at, self._chance)
        if not found.size:
            for work in found.queue.clear():
                yield _return(item.at, work, found, item.error)

    def _tick(self, now: float) -> Iterator[filters.Item]:
        for key, found in list(self._state.pools.items()):
            for work in found.queue.remove_expired(now):
                yield outcome.refuse(now, work, errors.OverloadedError())
            for conn in found.surplus(now):
                yield self._close(conn, now)
            yield from self._serve(found, now)
            if not (found.warm or found.size or len(found.queue)):
                del self._state.pools[key]


def _members(
    databases: Iterable[document.Database],
) -> Iterator[tuple[document.Database, document.Upstream]]:
    for database in databases:
        for member in database.upstreams:
            yield database, member


def _refuse(
    now: float, work: items.Work, found: pool.Pool, wait_s: float
) -> items.Finished:
    """Returns a refusal that names the upstream which has no time for it."""
    error = errors.OverloadedError(retry_after_s=max(wait_s, MIN_RETRY_AFTER_S))
    answer = request.Answer(
        work.req.request_id, upstream=found.upstream, error=error
    )
    return outcome.finish(now, work, answer)


def _return(
    now: float,
    work: items.Work,
    found: pool.Pool,
    error: errors.FescueshuntError,
) -> items.Retried:
    """Returns work that can't reach the upstream to its entry."""
    avoid = work.avoid | {found.upstream}
    again = dataclasses.replace(work, error=error, avoid=avoid, suggested="")
    return items.Retried(now, again)
