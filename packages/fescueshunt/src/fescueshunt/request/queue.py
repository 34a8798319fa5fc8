"""Filter with the request queue and connection pool of each upstream.

All requests for an upstream pass through one queue at its home proxy. Slots
limit how many run at a time. The pool keeps a minimum of connections open, and
opens more on demand.
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
from fescueshunt.request import (
    connection_pool,
    items,
    outcome,
    route,
    surge,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Iterator

    from fescueshunt.core import schedule

MIN_RETRY_AFTER_S = 0.05


@dataclasses.dataclass(slots=True)
class QueueState:
    """State of all queues and pools of this proxy.

    Attributes:
      settings: the settings in force.
      fleet: the newest view of the proxies.
      surge: the changes made by the calendar days in force.
      primaries: the newest known primary of each database.
      pools: the pools by (database, upstream).
      pool_by_conn: the pool of each connection, by connection id.
    """

    settings: document.Document = document.Document()
    fleet: views.FleetView = views.FleetView(0.0, ())
    surge: surge.SurgeView = surge.SurgeView(0.0)
    primaries: dict[str, str] = dataclasses.field(default_factory=dict)
    pools: dict[tuple[str, str], connection_pool.ConnectionPool] = (
        dataclasses.field(default_factory=dict)
    )
    pool_by_conn: dict[int, connection_pool.ConnectionPool] = dataclasses.field(
        default_factory=dict
    )


class Queue(filters.Filter):
    """Queues assigned work and starts it on free slots and connections."""

    def __init__(
        self,
        local_proxy: identity.Identity,
        home_policy: homes.HomeAssignment,
        make_schedule: Callable[[], schedule.Scheduler],
        rng: random.Random,
    ) -> None:
        self._local_proxy = local_proxy
        self._homes = home_policy
        self._make_schedule = make_schedule
        self._rng = rng
        self._state = QueueState()
        self._conn_ids = itertools.count(1)

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields started or refused work, and connections to open or close."""
        match item:
            case items.Assigned():
                yield from self._enqueue(item)
            case items.ConnectionReleased():
                yield from self._handle_released(item)
            case core_items.UpstreamOpened():
                yield from self._handle_opened(item)
            case core_items.UpstreamFailed():
                yield from self._handle_failure(item)
                yield item
            case filters.Tick():
                yield from self._handle_tick(item.at)
                yield item
            case surge.SurgeView() | views.SettingsView() | views.FleetView():
                self._update_view(item)
                yield item
                yield from self._handle_tick(item.at)
            case views.GroupView():
                yield item
                yield from self._handle_group_view(item)
            case _:
                yield item

    def _update_view(self, item: filters.Item) -> None:
        match item:
            case surge.SurgeView():
                self._state.surge = item
            case views.SettingsView():
                self._state.settings = item.document
            case views.FleetView():
                self._state.fleet = item
        self._update_pools()

    def _update_pools(self) -> None:
        """Updates the limits of all pools after a change of a view.

        Creates the pools of upstreams whose home proxy this proxy has become.
        Pools of other upstreams no longer keep connections open without work.
        """
        for pool in self._state.pools.values():
            pool.min_connections = 0
        settings = self._state.settings
        for database, upstream in _all_upstreams(settings.databases):
            home = self._homes.find_home(
                database.name,
                upstream,
                self._state.fleet,
                self._local_proxy.name,
            )
            if home == self._local_proxy.name and not upstream.draining:
                pool = self._get_or_create_pool(database, upstream)
                pool.min_connections = self._min_connections(pool)
        floors = dict(self._state.surge.floors)
        for pool in self._state.pools.values():
            pool.queue.set_floors(floors)

    def _min_connections(self, pool: connection_pool.ConnectionPool) -> int:
        surge_min = int(
            pool.max_connections * self._state.surge.min_connection_share
        )
        return min(max(pool.slots, surge_min), pool.max_connections)

    def _get_or_create_pool(
        self, database: document.Database, upstream: document.Upstream
    ) -> connection_pool.ConnectionPool:
        key = (database.name, upstream.name)
        group = self._state.settings.group(database.group)
        pool = self._state.pools.get(key)
        if pool is None:
            pool = connection_pool.ConnectionPool(
                *key, "", 0, 0, self._make_schedule()
            )
            self._state.pools[key] = pool
        pool.address = upstream.address
        pool.slots = self._homes.slots(group, self._state.fleet)
        pool.max_connections = self._homes.connections(group, self._state.fleet)
        return pool

    def _find_pool(
        self, database_name: str, upstream_name: str
    ) -> connection_pool.ConnectionPool | None:
        """Returns the pool of an upstream; None if it is no longer declared.

        A removed upstream keeps its pool as long as it has connections.
        """
        pool = self._state.pools.get((database_name, upstream_name))
        database = self._state.settings.database(database_name)
        upstream = database.find(upstream_name) if database else None
        if pool is not None or upstream is None:
            return pool
        return self._get_or_create_pool(database, upstream)

    def _enqueue(self, item: items.Assigned) -> Iterator[filters.Item]:
        pool = self._find_pool(item.work.req.database, item.upstream)
        if pool is None:
            error = errors.NoRouteError("the upstream was removed")
            work = dataclasses.replace(item.work, error=error, suggested="")
            yield items.RetryNeeded(item.at, work)
            return
        if pool.is_unreachable(item.at):
            error = errors.ConnectionLostError(pool.upstream)
            yield _make_retry(item.at, item.work, pool, error)
            return
        wait_s = pool.queue.offer(item.work, item.at, pool.slot_usage())
        if wait_s is not None:
            yield _refuse(item.at, item.work, pool, wait_s)
            return
        yield from self._start_queued(pool, item.at)

    def _start_queued(
        self, pool: connection_pool.ConnectionPool, now: float
    ) -> Iterator[filters.Item]:
        while pool.idle and pool.has_free_slot():
            work, rejected = pool.queue.pop(now, pool.slot_usage())
            for rejected_work in rejected:
                yield _refuse(now, rejected_work, pool, 0.0)
            if work is None:
                break
            conn = next(reversed(pool.idle))
            pool.start(conn, work, now)
            yield items.Started(now, work, pool.upstream, conn)
        yield from self._open_connections(pool, now)

    def _open_connections(
        self, pool: connection_pool.ConnectionPool, now: float
    ) -> Iterator[filters.Item]:
        for _ in range(pool.connections_to_open(now)):
            conn = next(self._conn_ids)
            pool.opening.add(conn)
            self._state.pool_by_conn[conn] = pool
            yield core_items.OpenUpstream(
                now, conn, pool.database, pool.upstream, pool.address
            )

    def _handle_opened(
        self, item: core_items.UpstreamOpened
    ) -> Iterator[filters.Item]:
        pool = self._state.pool_by_conn[item.conn]
        pool.opening.discard(item.conn)
        pool.reconnect.record_success()
        pool.idle[item.conn] = item.at
        yield from self._start_queued(pool, item.at)

    def _handle_released(
        self, item: items.ConnectionReleased
    ) -> Iterator[filters.Item]:
        pool = self._state.pool_by_conn.get(item.conn)
        if pool is None:
            return
        pool.stop(item.conn, item.at, item.reusable)
        if item.reusable:
            pool.idle[item.conn] = item.at
        else:
            yield self._close_connection(item.conn, item.at)
        yield from self._start_queued(pool, item.at)

    def _close_connection(
        self, conn: int, now: float
    ) -> core_items.CloseUpstream:
        pool = self._state.pool_by_conn.pop(conn)
        pool.idle.pop(conn, None)
        return core_items.CloseUpstream(now, conn)

    def _handle_failure(
        self, item: core_items.UpstreamFailed
    ) -> Iterator[filters.Item]:
        pool = self._state.pool_by_conn.pop(item.conn, None)
        if pool is None:
            return
        pool.idle.pop(item.conn, None)
        pool.stop(item.conn, item.at, completed=False)
        if item.conn not in pool.opening:
            return
        pool.opening.discard(item.conn)
        pool.reconnect.record_failure(item.at, self._rng)
        if not pool.size:
            for work in pool.queue.clear():
                yield _make_retry(item.at, work, pool, item.error)

    def _handle_group_view(
        self, view: views.GroupView
    ) -> Iterator[filters.Item]:
        """Returns the work that waits for a replaced primary.

        The replaced primary may be silent, and each call to it may then take
        until its timeout.
        """
        previous = self._state.primaries.get(view.database, view.primary)
        if view.primary:
            self._state.primaries[view.database] = view.primary
        pool = self._state.pools.get((view.database, previous))
        if pool is None or view.primary in ("", previous):
            return
        brief = route.group_brief(view)
        for work in pool.queue.clear():
            retried = dataclasses.replace(work, error=errors.NoPrimaryError())
            yield items.RetryNeeded(view.at, retried, brief)

    def _handle_tick(self, now: float) -> Iterator[filters.Item]:
        for key, pool in list(self._state.pools.items()):
            for work in pool.queue.remove_expired(now):
                yield outcome.refuse(now, work, errors.OverloadedError())
            for conn in pool.surplus_connections(now):
                yield self._close_connection(conn, now)
            yield from self._start_queued(pool, now)
            if not (pool.min_connections or pool.size or len(pool.queue)):
                del self._state.pools[key]


def _all_upstreams(
    databases: Iterable[document.Database],
) -> Iterator[tuple[document.Database, document.Upstream]]:
    for database in databases:
        for upstream in database.upstreams:
            yield database, upstream


def _refuse(
    now: float,
    work: items.Work,
    pool: connection_pool.ConnectionPool,
    wait_s: float,
) -> items.Answered:
    """Returns a refusal for overload that names the overloaded upstream."""
    error = errors.OverloadedError(retry_after_s=max(wait_s, MIN_RETRY_AFTER_S))
    answer = request.Answer(
        work.req.request_id, upstream=pool.upstream, error=error
    )
    return outcome.finish(now, work, answer)


def _make_retry(
    now: float,
    work: items.Work,
    pool: connection_pool.ConnectionPool,
    error: errors.FescueshuntError,
) -> items.RetryNeeded:
    """Returns a retry of `work` that excludes the upstream of `pool`."""
    excluded = work.excluded | {pool.upstream}
    retried = dataclasses.replace(
        work, error=error, excluded=excluded, suggested=""
    )
    return items.RetryNeeded(now, retried)
