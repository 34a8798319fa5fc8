"""What a host measures: outcomes, latencies, and how old its beliefs are."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import (
    process,
    replica_sets,
    routes,
    session_items,
    store_items,
)
from fescueshunt.sessions import items as session_pipe_items
from fescueshunt.takeover import items as takeover_items
from fescueshunt_proxy._internal import metrics
from fescueshunt_proxy._internal.hosted import exposition

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt_proxy._internal import runtime

DONE = "done"


class Measures:
    """Counts and times what the core decides, and keeps its newest views."""

    def __init__(self, joined: runtime.Runtime) -> None:
        self.measured = metrics.Metrics()
        self._joined = joined
        self._routes: routes.RoutesView | None = None
        self._lease: store_items.LeaseView | None = None
        self._duty: takeover_items.DutyView | None = None
        self._hosts = 0
        self._ready = False
        self._sets: dict[str, replica_sets.ReplicaSetView] = {}
        joined.subscribe(session_pipe_items.JobFinished, self._done)
        joined.subscribe(session_items.LogDecision, self._decided)
        joined.subscribe(process.ItemFailed, self.measured.count_failed_item)
        joined.subscribe(session_pipe_items.ReadinessView, self._see_ready)
        joined.subscribe(routes.RoutesView, self._see_routes)
        joined.subscribe(store_items.LeaseView, self._see_lease)
        joined.subscribe(store_items.LiveHostsView, self._see_hosts)
        joined.subscribe(takeover_items.DutyView, self._see_duty)
        joined.subscribe(replica_sets.ReplicaSetView, self._see_set)

    def count(self, name: str, count: int = 1, **labels: object) -> None:
        """Adds to a counter."""
        self.measured.counters[exposition.labelled(name, **labels)] += count

    def record(self, name: str, latency_s: float, **labels: object) -> None:
        """Records a latency."""
        key = exposition.labelled(name, **labels)
        self.measured.record(key, latency_s)

    def render(self) -> str:
        """Returns everything as text for scrapers."""
        gauges = dict(self._gauges(self._joined.now()))
        return exposition.render(self.measured, gauges)

    def _done(self, item: session_pipe_items.JobFinished) -> None:
        job = item.job
        labels = {
            "rank": job.rank.order,
            "consistency": job.route.consistency.value,
            "outcome": item.failure.value if item.failure else DONE,
        }
        self.count("statements", **labels)
        self.record("statement", item.at - job.arrived_at, **labels)
        if item.upstream:
            self.count(
                "upstream_statements",
                upstream=item.upstream,
                outcome=labels["outcome"],
            )

    def _decided(self, item: session_items.LogDecision) -> None:
        self.count("decisions", event=item.event)

    def _see_ready(self, item: session_pipe_items.ReadinessView) -> None:
        self._ready = item.ready

    def _see_routes(self, item: routes.RoutesView) -> None:
        self._routes = item

    def _see_lease(self, item: store_items.LeaseView) -> None:
        self._lease = item

    def _see_hosts(self, item: store_items.LiveHostsView) -> None:
        self._hosts = len(item.names)

    def _see_duty(self, item: takeover_items.DutyView) -> None:
        self._duty = item

    def _see_set(self, item: replica_sets.ReplicaSetView) -> None:
        self._sets[item.database] = item

    def _gauges(self, now: float) -> Iterator[tuple[str, float]]:
        yield "ready", float(self._ready)
        yield "live_hosts", float(self._hosts)
        if self._routes is not None:
            yield "routes_version", float(self._routes.version)
            yield "routes_age_seconds", now - self._routes.at
        if self._lease is not None:
            left_s = max(self._lease.valid_until - now, 0.0)
            yield "lease_left_seconds", left_s
        if self._duty is not None:
            yield "duty_held", float(self._duty.is_held(now))
        for database, view in self._sets.items():
            yield from _set_gauges(database, view, now)


def _set_gauges(
    database: str, view: replica_sets.ReplicaSetView, now: float
) -> Iterator[tuple[str, float]]:
    """Yields what is believed of a replica set, and how old that is."""

    def named(name: str) -> str:
        return exposition.labelled(name, database=database)

    yield named("primary_confirmed"), float(view.is_confirmed(now))
    yield named("primary_moving"), float(view.is_moving)
    yield named("members"), float(len(view.members))
    failing = sum(m.failing_since is not None for m in view.members)
    yield named("members_failing"), float(failing)
    if view.samples:
        yield named("position_age_seconds"), now - view.samples[-1].at
