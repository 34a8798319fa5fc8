"""The queue of statements that wait for a connection.

Each database has two subqueues: one for the statements that only its primary
may run, and one for those that any member of its replica set may run. The
schedule of a subqueue orders its statements by rank and rejects those that can
no longer meet their latency objective.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import ranked, replica_sets, schedule, session_items
from fescueshunt.sessions import (
    choose,
    connection_demand,
    moves,
    pool,
    steps,
    wait_reasons,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Set

    from fescueshunt.core import filters, position
    from fescueshunt.sessions import items, pools

STATUS_REQUEST_INTERVAL_S = 0.1
# A position is renewed once it is older than this share of what reads permit.
POSITION_AGE_SHARE = 1 / 3
# A read waits so long for a position before it goes to the primary.
POSITION_WAIT_S = 0.03
QUEUE_TOO_LONG = "queue too long"


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """A statement that can start, with the connection to run it on.

    Attributes:
      conn: an idle connection.
      job: the statement.
      min_position: the log position that the upstream must have applied before
        it runs the statement; None if there is no minimum.
    """

    conn: pool.Connection
    job: items.StatementJob
    min_position: position.Position | None


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """A statement that cannot be served in time, with the reason."""

    job: items.StatementJob
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SubqueueKey:
    """Identifies a subqueue.

    Attributes:
      database: the database of its statements.
      primary_only: whether only the primary may run its statements.
    """

    database: str
    primary_only: bool


@dataclasses.dataclass(slots=True)
class Subqueue:
    """The statements of one database that need, or do not need, the primary.

    Attributes:
      schedule: the statements that wait.
      running: the number of running statements by the order of their rank.
    """

    schedule: schedule.Scheduler
    running: dict[int, int] = dataclasses.field(default_factory=dict)


class StatementQueue:
    """Queues statements and assigns them to idle connections."""

    def __init__(
        self,
        placement: choose.PlacementPolicy,
        pool_manager: pools.PoolManager,
        schedule_factory: Callable[
            [], schedule.Scheduler
        ] = ranked.PriorityScheduler,
    ) -> None:
        self._placement = placement
        self._pools = pool_manager
        self._demand = connection_demand.ConnectionDemand(
            pool_manager, self._candidates
        )
        self._schedule_factory = schedule_factory
        self._views: dict[str, replica_sets.ReplicaSetView] = {}
        self._subqueues: dict[SubqueueKey, Subqueue] = {}
        self._started_at: dict[items.StatementJob, float] = {}
        self._status_requested_at: dict[str, float] = {}
        self._position_asked_at: dict[str, float] = {}
        self._failover_times = moves.FailoverTimes()

    def __len__(self) -> int:
        return sum(
            len(subqueue.schedule) for subqueue in self._subqueues.values()
        )

    def update_view(self, view: replica_sets.ReplicaSetView) -> None:
        """Replaces the view of a replica set.

        When the primary has been replaced, the queue deadlines of the
        statements that waited for the new one start again, because these
        statements then run one after the other.
        """
        self._views[view.database] = view
        if self._failover_times.update(view):
            subqueue = self._subqueue(
                SubqueueKey(view.database, primary_only=True)
            )
            for job in subqueue.schedule.waiting():
                wait_until = view.at + job.max_wait_s
                job.queue_deadline = min(wait_until, job.answer_deadline)

    def may_continue(self, job: items.StatementJob, upstream: str) -> bool:
        """Returns whether `job` may run in its transaction at `upstream`.

        Once its primary is replaced, a transaction can't write or commit writes
        any more.
        """
        if not job.writes and not steps.commits_changes(job):
            return True
        view = self._views.get(job.route.database)
        return view is None or not view.has_replaced(upstream)

    def add(self, job: items.StatementJob, now: float) -> Rejection | None:
        """Adds a statement; returns a rejection if it would wait too long."""
        key = _subqueue_key(job)
        subqueue = self._subqueue(key)
        slots = self._slots(key, subqueue)
        if subqueue.schedule.offer(job, now, slots) is None:
            return None
        return Rejection(job, QUEUE_TOO_LONG)

    def requeue(self, job: items.StatementJob) -> None:
        """Adds a statement whose attempt failed; it goes first in its rank."""
        self._subqueue(_subqueue_key(job)).schedule.put_back(job)

    def dequeue_ready(self, now: float) -> Iterator[Assignment | Rejection]:
        """Removes and yields the statements that can start or are too late.

        The caller must start each statement before it takes the next one from
        the iterator, so that its connection is no longer idle.
        """
        for key, subqueue in self._subqueues.items():
            yield from self._dequeue_ready_from(key, subqueue, now)

    def release(
        self, job: items.StatementJob, now: float, *, ran: bool
    ) -> None:
        """Records that a statement no longer occupies its connection.

        Only a statement that `ran` to its end counts for the service times.
        """
        started_at = self._started_at.pop(job, None)
        if started_at is None:
            return
        subqueue = self._subqueue(_subqueue_key(job))
        subqueue.running[job.rank.order] -= 1
        if ran:
            subqueue.schedule.released(job, now - started_at)

    def release_lost(
        self, running_jobs: Set[items.StatementJob], now: float
    ) -> None:
        """Releases the started statements that are not among `running_jobs`.

        A fault in a filter has kept them from their connections.
        """
        for job in [job for job in self._started_at if job not in running_jobs]:
            self.release(job, now, ran=False)

    def dequeue_overdue(self, now: float) -> Iterator[Rejection]:
        """Removes and yields the statements that waited too long."""
        for subqueue in self._subqueues.values():
            expired = subqueue.schedule.remove_if(
                lambda job: self._has_waited_too_long(job, now)
            )
            for job in expired:
                yield Rejection(job, self._wait_reason(job, now))

    def open_connections(self, now: float) -> Iterator[filters.Item]:
        """Opens or borrows connections that statements wait for."""
        yield from self._demand.open_connections(self._waiting_jobs(), now)

    def end_unneeded_loans(self, now: float) -> Iterator[filters.Item]:
        """Withdraws the requests for connections that no statement needs."""
        yield from self._demand.end_unneeded_loans(self._waiting_jobs(), now)

    def refresh_position(
        self, job: items.StatementJob, now: float
    ) -> Iterator[filters.Item]:
        """Asks a lender for the primary's position before reads need it.

        A read that knows no position that is new enough needs the primary.
        """
        database = job.route.database
        view = self._views.get(database)
        if job.needs_primary or view is None or not view.primary:
            return
        if not self._pools.lender_choice.is_lent(database):
            return
        newest = view.samples[-1].at if view.samples else replica_sets.NEVER
        max_age_s = job.route.max_age_s * POSITION_AGE_SHARE
        asked_at = self._position_asked_at.get(database, replica_sets.NEVER)
        if (
            now - newest > max_age_s
            and now - asked_at > STATUS_REQUEST_INTERVAL_S
        ):
            self._position_asked_at[database] = now
            yield from self._pools.ask_position(database, view.primary, now)

    def request_status(self, now: float) -> Iterator[filters.Item]:
        """Requests the status of the members that a statement waits for."""
        for job in self._waiting_jobs():
            database = job.route.database
            requested_at = self._status_requested_at.get(database, 0.0)
            if (
                now - requested_at >= STATUS_REQUEST_INTERVAL_S
                and self._needs_member_status(job, now)
            ):
                self._status_requested_at[database] = now
                yield session_items.ConfirmationRequested(now, database)

    def _waiting_jobs(self) -> Iterator[items.StatementJob]:
        for subqueue in self._subqueues.values():
            yield from subqueue.schedule.waiting()

    def _subqueue(self, key: SubqueueKey) -> Subqueue:
        """Returns the subqueue of `key`, creating it if necessary.

        The subqueues of primaries come first, so they are served first.
        """
        subqueue = self._subqueues.get(key)
        if subqueue is None:
            subqueue = Subqueue(self._schedule_factory())
            subqueues = {**self._subqueues, key: subqueue}
            keys = sorted(subqueues, key=lambda each: not each.primary_only)
            self._subqueues = {each: subqueues[each] for each in keys}
        return subqueue

    def _dequeue_ready_from(
        self, key: SubqueueKey, subqueue: Subqueue, now: float
    ) -> Iterator[Assignment | Rejection]:
        unassigned: list[items.StatementJob] = []
        try:
            while len(subqueue.schedule) and self._has_idle(key):
                slots = self._slots(key, subqueue)
                job, late = subqueue.schedule.pop(now, slots)
                for late_job in late:
                    yield Rejection(late_job, QUEUE_TOO_LONG)
                if job is None:
                    break
                assignment = self._assign(job, now)
                if assignment is None:
                    unassigned.append(job)
                    continue
                self._record_start(subqueue, job, now)
                yield assignment
        finally:
            for job in reversed(unassigned):
                subqueue.schedule.put_back(job)

    def _record_start(
        self, subqueue: Subqueue, job: items.StatementJob, now: float
    ) -> None:
        order = job.rank.order
        subqueue.running[order] = subqueue.running.get(order, 0) + 1
        subqueue.schedule.started(job, now)
        self._started_at[job] = now

    def _member_pools(self, key: SubqueueKey) -> Iterator[pool.ConnectionPool]:
        view = self._views.get(key.database)
        if view is None:
            return
        for member in view.members:
            if not key.primary_only or member.upstream == view.primary:
                conn_pool = self._pools.by_upstream.get(member.upstream)
                if conn_pool is not None:
                    yield conn_pool

    def _has_idle(self, key: SubqueueKey) -> bool:
        return any(
            conn_pool.has_idle() for conn_pool in self._member_pools(key)
        )

    def _slots(self, key: SubqueueKey, subqueue: Subqueue) -> schedule.Slots:
        """Returns the slots of a subqueue: one for each open connection."""
        open_count = sum(
            conn_pool.usable_count() for conn_pool in self._member_pools(key)
        )
        return schedule.Slots(max(open_count, 1), subqueue.running)

    def _assign(self, job: items.StatementJob, now: float) -> Assignment | None:
        if now < job.retry_at:
            return None
        for candidate in self._candidates(job, now):
            conn_pool = self._pools.by_upstream[candidate.upstream]
            idle = conn_pool.idle_connections_of(job.connection_account)
            if idle:
                conn = min(
                    idle, key=lambda each: steps.setup_call_count(job, each)
                )
                return Assignment(conn, job, candidate.min_position)
        return None

    def _candidates(
        self, job: items.StatementJob, now: float
    ) -> list[choose.Candidate]:
        view = self._views.get(job.route.database)
        if view is None or self._waits_for_position(job, view, now):
            return []
        by_upstream = self._pools.by_upstream
        return self._placement.candidates(job, view, by_upstream, now)

    def _waits_for_position(
        self,
        job: items.StatementJob,
        view: replica_sets.ReplicaSetView,
        now: float,
    ) -> bool:
        """Returns whether a lender is about to tell a position for a read.

        Without it, only the primary could run the read.
        """
        asked_at = self._position_asked_at.get(
            job.route.database, replica_sets.NEVER
        )
        return (
            not job.needs_primary
            and now - asked_at < POSITION_WAIT_S
            and choose.needed_position(job, view) is None
        )

    def _has_waited_too_long(self, job: items.StatementJob, now: float) -> bool:
        """Returns whether `job` is to be rejected.

        A statement that needs a primary that is being replaced waits only if
        the new primary is expected before its answer deadline.
        """
        if not job.needs_primary:
            return now > job.queue_deadline
        expected_end = self._failover_times.expected_end(
            job.route.database, now
        )
        if expected_end is None:
            return now > job.queue_deadline
        return expected_end > job.answer_deadline

    def _needs_member_status(self, job: items.StatementJob, now: float) -> bool:
        view = self._views.get(job.route.database)
        if view is None:
            return False
        primary = self._pools.by_upstream.get(view.primary)
        has_connection = primary is not None and (
            primary.open_count() > 0
            or self._pools.lender_choice.lender_of(primary.entry, now)
            is not None
        )
        return wait_reasons.needs_member_status(job, view, has_connection, now)

    def _wait_reason(self, job: items.StatementJob, now: float) -> str:
        view = self._views.get(job.route.database)
        has_candidate = bool(self._candidates(job, now))
        return wait_reasons.wait_reason(job, view, has_candidate, now)


def _subqueue_key(job: items.StatementJob) -> SubqueueKey:
    return SubqueueKey(job.route.database, job.needs_primary)
