"""Metrics of a host: statement outcomes, latencies, and ages of its views."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import (
    process,
    quotas,
    replica_sets,
    routes,
    session_items,
    store_items,
)
from fescueshunt.sessions import items as session_pipe_items
from fescueshunt_proxy._internal import metrics
from fescueshunt_proxy._internal.hosted import exposition

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt_proxy._internal import runtime

OUTCOME_DONE = "done"


class HostMetrics:
    """Collects metrics from the core's items and its latest views."""

    def __init__(self, core_runtime: runtime.Runtime) -> None:
        self.metrics_registry = metrics.Metrics()
        self._runtime = core_runtime
        self._routes: routes.RoutesView | None = None
        self._lease: store_items.LeaseView | None = None
        self._duty: store_items.DutyView | None = None
        self._live_host_count = 0
        self._is_ready = False
        self._replica_sets: dict[str, replica_sets.ReplicaSetView] = {}
        core_runtime.subscribe(
            session_pipe_items.JobFinished, self._count_statement
        )
        core_runtime.subscribe(session_items.LogDecision, self._count_decision)
        core_runtime.subscribe(
            quotas.OperationRefused, self._count_quota_refusal
        )
        core_runtime.subscribe(
            process.ItemFailed, self.metrics_registry.count_failed_item
        )
        core_runtime.subscribe(
            session_pipe_items.ReadinessView, self._update_readiness
        )
        core_runtime.subscribe(routes.RoutesView, self._update_routes)
        core_runtime.subscribe(store_items.LeaseView, self._update_lease)
        core_runtime.subscribe(
            store_items.LiveHostsView, self._update_live_hosts
        )
        core_runtime.subscribe(store_items.DutyView, self._update_duty)
        core_runtime.subscribe(
            replica_sets.ReplicaSetView, self._update_replica_set
        )

    def count(self, name: str, count: int = 1, **labels: object) -> None:
        """Adds `count` to the counter `name` with `labels`."""
        self.metrics_registry.counters[
            exposition.format_name(name, **labels)
        ] += count

    def record(self, name: str, latency_s: float, **labels: object) -> None:
        """Records a latency in seconds under `name` with `labels`."""
        key = exposition.format_name(name, **labels)
        self.metrics_registry.record(key, latency_s)

    def render(self) -> str:
        """Returns all metrics in the text exposition format."""
        gauges = dict(self._gauges(self._runtime.now()))
        return exposition.render(self.metrics_registry, gauges)

    def _count_statement(self, item: session_pipe_items.JobFinished) -> None:
        job = item.job
        labels = {
            "rank": job.rank.order,
            "consistency": job.route.consistency.value,
            "outcome": item.failure.value if item.failure else OUTCOME_DONE,
        }
        self.count("statements", **labels)
        self.record("statement", item.at - job.arrived_at, **labels)
        if item.upstream:
            self.count(
                "upstream_statements",
                upstream=item.upstream,
                outcome=labels["outcome"],
            )

    def _count_decision(self, item: session_items.LogDecision) -> None:
        self.count("decisions", event=item.event)

    def _count_quota_refusal(self, item: quotas.OperationRefused) -> None:
        self.count("quota_refusals", cause=item.cause.value)

    def _update_readiness(self, item: session_pipe_items.ReadinessView) -> None:
        self._is_ready = item.ready

    def _update_routes(self, item: routes.RoutesView) -> None:
        self._routes = item

    def _update_lease(self, item: store_items.LeaseView) -> None:
        self._lease = item

    def _update_live_hosts(self, item: store_items.LiveHostsView) -> None:
        self._live_host_count = len(item.names)

    def _update_duty(self, item: store_items.DutyView) -> None:
        self._duty = item

    def _update_replica_set(self, item: replica_sets.ReplicaSetView) -> None:
        self._replica_sets[item.database] = item

    def _gauges(self, now: float) -> Iterator[tuple[str, float]]:
        yield "ready", float(self._is_ready)
        yield "live_hosts", float(self._live_host_count)
        if self._routes is not None:
            yield "routes_version", float(self._routes.version)
            yield "routes_age_seconds", now - self._routes.at
        if self._lease is not None:
            remaining_s = max(self._lease.valid_until - now, 0.0)
            yield "lease_left_seconds", remaining_s
        if self._duty is not None:
            yield "duty_held", float(self._duty.is_held(now))
        for database, view in self._replica_sets.items():
            yield from _replica_set_gauges(database, view, now)


def _replica_set_gauges(
    database: str, view: replica_sets.ReplicaSetView, now: float
) -> Iterator[tuple[str, float]]:
    """Yields the gauges of one replica set, with the age of its position."""

    def format_with_database(name: str) -> str:
        return exposition.format_name(name, database=database)

    yield (
        format_with_database("primary_confirmed"),
        float(view.is_confirmed(now)),
    )
    yield format_with_database("primary_moving"), float(view.is_failing_over)
    yield format_with_database("members"), float(len(view.members))
    failing = sum(m.failing_since is not None for m in view.members)
    yield format_with_database("members_failing"), float(failing)
    if view.samples:
        yield (
            format_with_database("position_age_seconds"),
            now - view.samples[-1].at,
        )
