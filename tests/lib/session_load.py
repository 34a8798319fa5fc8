"""Simulates the statement queue of a host under load, without a network.

The simulated host has connections to three members of a replica set. Each
statement occupies its connection for `SERVICE_S`. Time passes only when a test
advances the clock.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random

from fescueshunt.core import (
    identity,
    routes,
    sessions,
)
from fescueshunt.sessions import (
    choose,
    items,
    pool,
    pools,
    queue,
)
from lib import hosted_routes, replica_set_views

SERVICE_S = 0.02
STEP_S = 0.005
TIMEOUT_S = 1.0
WAIT_SHARE = 0.5
PRIMARY = "u0"
MEMBERS = (PRIMARY, "u1", "u2")


def make_route(priority: int, target_s: float = 0.2) -> routes.Route:
    """Returns a route with the given priority, whose reads need the primary."""
    return routes.Route(
        f"r{priority}",
        hosted_routes.DATABASE,
        routes.Consistency.PRIMARY,
        TIMEOUT_S,
        target_s,
        priority,
        0.0,
    )


def make_job(
    client: int,
    account: str,
    statement: sessions.Statement,
    route: routes.Route,
    now: float,
) -> items.StatementJob:
    """Returns a read for the primary that arrives at the time `now`."""
    max_wait_s = route.target_s * WAIT_SHARE
    return items.StatementJob(
        client=client,
        account=account,
        statement=statement,
        route=route,
        rank=route.rank,
        settings=sessions.SessionSettings({}, {}),
        prepared=None,
        arrived_at=now,
        read_started_at=now,
        max_wait_s=max_wait_s,
        queue_deadline=now + max_wait_s,
        answer_deadline=now + route.timeout_s,
        begin_statement=None,
        in_transaction=False,
        read_only=False,
        needs_primary=True,
        writes=False,
        has_written=False,
        own_commit_position=None,
    )


@dataclasses.dataclass(slots=True)
class Outcome:
    """The result of a statement: served, or rejected for a reason.

    Attributes:
      job: the statement.
      at: when it was served or rejected; simulated seconds.
      rejection_reason: why it was rejected; "" if it was served.
    """

    job: items.StatementJob
    at: float
    rejection_reason: str = ""

    @property
    def met_target(self) -> bool:
        """Whether it was served within its latency objective."""
        late_s = self.at - self.job.arrived_at - self.job.route.target_s
        return not self.rejection_reason and late_s <= 0


class Host:
    """A simulated host: its statement queue, connections and outcomes."""

    def __init__(self, connections: int = 2) -> None:
        self.now = 0.0
        self.outcomes: list[Outcome] = []
        self._client_ids = itertools.count()
        self._running: list[
            tuple[float, int, pool.Connection, items.StatementJob]
        ] = []
        self._pools = pools.PoolManager(random.Random(1))
        own_identity = identity.Identity("h0", "z", "127.0.0.1:1", 1)
        self.queue = queue.StatementQueue(
            choose.LeastLoadedPolicy(own_identity), self._pools
        )
        self.set_primary(PRIMARY)
        for name in MEMBERS:
            conn_pool = self._pools.by_upstream[name]
            for _ in range(connections):
                opened = self._pools.open(conn_pool, 0.0)
                self._pools.connections[opened.connection_id].set_state(
                    pool.ConnectionState.IDLE, 0.0
                )

    def set_primary(self, primary: str) -> None:
        """Gives the queue a view with this primary; "" during a failover."""
        view = replica_set_views.make_view(
            (replica_set_views.make_entry(name) for name in MEMBERS),
            primary,
            now=self.now,
            confirmed_until=float("inf"),
            is_failing_over=not primary,
            samples=(replica_set_views.COVERING_SAMPLE,),
        )
        list(self._pools.set_members(view))
        self.queue.update_view(view)

    def submit(self, route: routes.Route, account: str = "a") -> None:
        """Submits a statement for the primary at the current time."""
        statement = sessions.Statement("id", sessions.Verb.READ, "READ x")
        client = next(self._client_ids)
        job = make_job(client, account, statement, route, self.now)
        rejection = self.queue.add(job, self.now)
        if rejection is not None:
            self.outcomes.append(Outcome(job, self.now, rejection.reason))
        self._start()

    def run_until(self, until: float, rates_per_s: dict[int, float]) -> None:
        """Advances to the time `until` under load.

        `rates_per_s` gives the statements per second for each priority.
        """
        due = dict.fromkeys(rates_per_s, self.now)
        while self.now < until:
            for priority, rate in rates_per_s.items():
                while due[priority] <= self.now:
                    due[priority] += 1 / rate
                    number = len(self.outcomes) % 7
                    self.submit(make_route(priority), f"a{number}")
            self.advance()

    def advance(self) -> None:
        """Advances the clock by `STEP_S`; ends and starts statements."""
        self.now += STEP_S
        while self._running and self._running[0][0] <= self.now:
            at, _, conn, job = heapq.heappop(self._running)
            conn.job = None
            conn.set_state(pool.ConnectionState.IDLE, at)
            self.queue.release(job, at, ran=True)
            self.outcomes.append(Outcome(job, at))
            self._start()
        for rejection in self.queue.dequeue_overdue(self.now):
            self.outcomes.append(
                Outcome(rejection.job, self.now, rejection.reason)
            )
        self._start()

    def _start(self) -> None:
        for result in self.queue.dequeue_ready(self.now):
            if isinstance(result, queue.Rejection):
                self.outcomes.append(
                    Outcome(result.job, self.now, result.reason)
                )
                continue
            result.conn.job = result.job
            result.conn.set_state(pool.ConnectionState.WORKING, self.now)
            ends_at = self.now + SERVICE_S
            entry = (ends_at, result.job.client, result.conn, result.job)
            heapq.heappush(self._running, entry)

    def outcomes_of_rank(self, priority: int) -> list[Outcome]:
        """Returns the outcomes of the statements with this priority."""
        return [
            outcome
            for outcome in self.outcomes
            if outcome.job.route.priority == priority
        ]
