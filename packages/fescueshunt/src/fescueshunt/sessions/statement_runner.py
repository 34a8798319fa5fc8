"""Starts queued statements on connections, and retries or fails them.

Statements of more urgent ranks are assigned to connections first. A statement
that is known not to have run is retried at another upstream. One that may have
run is never retried, unless it only reads.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.sessions import (
    asks,
    calls,
    control_requests,
    items,
    pool,
    queue,
    retry,
    steps,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import filters, position, sessions
    from fescueshunt.sessions import pools

BUSY_RETRY_DELAY_S = 0.01


class StatementRunner:
    """Runs the statements of a queue on the connections of the pools."""

    def __init__(
        self,
        statement_queue: queue.StatementQueue,
        pool_manager: pools.PoolManager,
    ) -> None:
        self._queue = statement_queue
        self._pools = pool_manager

    def enqueue(
        self, job: items.StatementJob, now: float
    ) -> Iterator[filters.Item]:
        """Adds a statement to the queue, and starts it if it can run."""
        yield from self._queue.refresh_position(job, now)
        rejection = self._queue.add(job, now)
        if rejection is not None:
            yield _rejected(rejection, now)
            return
        yield from self.start_ready(now)

    def start_ready(self, now: float) -> Iterator[filters.Item]:
        """Starts statements that can run; opens connections for the others."""
        for result in self._queue.dequeue_ready(now):
            match result:
                case queue.Assignment():
                    yield from self.start(
                        result.conn, result.job, result.min_position, now
                    )
                case queue.Rejection():
                    yield _rejected(result, now)
        if len(self._queue):
            yield from self._queue.open_connections(now)
            yield from self._queue.request_status(now)

    def start(
        self,
        conn: pool.Connection,
        job: items.StatementJob,
        min_position: position.Position | None,
        now: float,
    ) -> Iterator[filters.Item]:
        """Starts a statement on a connection.

        `min_position` is the log position that the upstream must have applied;
        None if there is no minimum.
        """
        conn.job = job
        job.attempts += 1
        job.statement_sent = False
        yield from calls.start_calls(
            conn, steps.plan_calls(job, conn, min_position), now
        )

    def retry_or_fail(
        self,
        job: items.StatementJob,
        decision: retry.Decision,
        reply: sessions.UpstreamReply | None,
        conn: pool.Connection,
        now: float,
    ) -> Iterator[filters.Item]:
        """Requeues the statement, or reports its failure."""
        if decision.failure is not None:
            yield items.JobFinished(
                now,
                job,
                reply,
                decision.failure,
                decision.detail,
                conn.upstream,
            )
            return
        if decision.avoid_upstream:
            job.avoided_upstreams.add(conn.upstream)
        else:
            job.retry_at = now + BUSY_RETRY_DELAY_S
        job.queue_deadline = min(now + job.max_wait_s, job.answer_deadline)
        self._queue.requeue(job)
        yield from self.start_ready(now)

    def release(
        self, conn: pool.Connection, now: float
    ) -> Iterator[filters.Item]:
        """Makes a connection idle, and gives it its next work.

        A control request that waits for the upstream goes before statements.
        """
        conn.client = None
        conn.set_state(pool.ConnectionState.IDLE, now)
        conn_pool = self._pools.by_upstream[conn.upstream]
        yield from asks.expire_waiting((conn_pool,), now)
        if conn_pool.waiting_requests:
            yield from control_requests.send(
                conn, conn_pool.waiting_requests.popleft(), now
            )
        else:
            yield from self.start_ready(now)
        yield from self._pools.give_back_idle(conn_pool, now)

    def reject_overdue(self, now: float) -> Iterator[filters.Item]:
        """Rejects the statements that waited too long in the queue."""
        for rejection in self._queue.dequeue_overdue(now):
            yield _rejected(rejection, now)


def _rejected(rejection: queue.Rejection, now: float) -> items.JobFinished:
    decision = retry.decide_after_rejection(rejection.reason)
    return items.JobFinished(
        now, rejection.job, None, decision.failure, decision.detail, ""
    )
