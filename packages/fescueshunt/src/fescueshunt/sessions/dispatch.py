"""The filter that runs statements and control requests on connections.

Statements of more urgent ranks are assigned to connections first. A statement
that is known not to have run is retried at another upstream. One that may have
run is never retried, unless it only reads.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    replica_sets,
    routes,
    session_items,
    sessions,
    store_items,
)
from fescueshunt.sessions import (
    asks,
    items,
    pool,
    pools,
    queue,
    receipts,
    reports,
    retry,
    steps,
    watchdog,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Iterator

    from fescueshunt.core import position
    from fescueshunt.sessions import choose

BUSY_RETRY_DELAY_S = 0.01
POOL_LOG_INTERVAL_S = 2.0
CONNECTION_LIMIT_FAILURES = frozenset(
    {sessions.Failure.CONNECTION_LIMIT, sessions.Failure.BUSY}
)


class Dispatcher(filters.Filter):
    """Assigns queued statements to connections and handles the replies."""

    def __init__(
        self, placement: choose.PlacementPolicy, rng: random.Random
    ) -> None:
        self._placement = placement
        self._pools = pools.PoolManager(rng)
        self._queue = queue.StatementQueue(placement, self._pools)
        self._held_connections: dict[int, pool.Connection] = {}
        self._next_pool_log_at = 0.0
        self._transaction_idle_s = float("inf")

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields calls on connections, and the result of each statement."""
        match item:
            case session_items.CallReplied():
                yield from self._handle_reply(item)
            case items.JobSubmitted():
                yield from self._submit(item.job, item.at)
            case items.RollBackTransaction():
                yield from self._end_transaction(item)
            case session_items.ConnectionOpened():
                yield from self._handle_opened(item)
            case session_items.ConnectionFailed():
                yield from self._handle_connection_failure(item)
            case session_items.CallUpstream():
                yield from self._submit_control_request(item)
            case replica_sets.ReplicaSetView():
                yield from self._update_members(item)
            case filters.Tick():
                yield from self._tick(item.at)
            case routes.RoutesView():
                self._pools.set_policies(item)
                self._transaction_idle_s = item.transaction_idle_s
            case store_items.LiveHostsView():
                self._pools.set_host_count(len(item.names))
            case _:
                yield item

    # Statements.

    def _submit(
        self, job: items.StatementJob, now: float
    ) -> Iterator[filters.Item]:
        conn = self._held_connections.get(job.client)
        if conn is not None and self._queue.may_continue(job, conn.upstream):
            yield from self._start(conn, job, None, now)
            return
        if conn is not None:
            yield from self._abort_transaction(conn, job, now)
            return
        rejection = self._queue.add(job, now)
        if rejection is not None:
            yield _rejected(rejection, now)
            return
        yield from self._start_ready_jobs(now)

    def _start_ready_jobs(self, now: float) -> Iterator[filters.Item]:
        """Starts statements that can run; opens connections for the others."""
        for result in self._queue.dequeue_ready(now):
            match result:
                case queue.Assignment():
                    yield from self._start(
                        result.conn, result.job, result.min_position, now
                    )
                case queue.Rejection():
                    yield _rejected(result, now)
        if len(self._queue):
            yield from self._queue.open_connections(now)
            yield from self._queue.request_status(now)

    def _start(
        self,
        conn: pool.Connection,
        job: items.StatementJob,
        min_position: position.Position | None,
        now: float,
    ) -> Iterator[filters.Item]:
        conn.job = job
        job.attempts += 1
        job.statement_sent = False
        yield from self._run_calls(
            conn, steps.plan_calls(job, conn, min_position), now
        )

    def _run_calls(
        self,
        conn: pool.Connection,
        calls: Iterable[sessions.UpstreamCall],
        now: float,
    ) -> Iterator[filters.Item]:
        """Sends the first call; each reply triggers the next one."""
        conn.pending_calls = collections.deque(calls)
        conn.set_state(pool.ConnectionState.WORKING, now)
        yield from self._send_next(conn, now)

    def _send_next(
        self, conn: pool.Connection, now: float
    ) -> Iterator[filters.Item]:
        call = conn.pending_calls[0]
        conn.sent_at = now
        conn.reported_slow = False
        if conn.job is not None and steps.is_client_statement(call):
            conn.job.statement_sent = True
        yield session_items.SendCall(now, conn.number, call)

    def _handle_reply(
        self, item: session_items.CallReplied
    ) -> Iterator[filters.Item]:
        conn = self._pools.connections.get(item.connection_id)
        if conn is None:
            return
        conn_pool = self._pools.by_upstream[conn.upstream]
        call = conn.pending_calls.popleft()
        yield from self._report_reply(conn_pool, conn, call, item)
        if item.reply.failure is None:
            steps.record_success(conn, call)
        if conn.control_request is not None:
            yield from self._finish_control_request(conn, item)
        elif conn.job is not None:
            yield from self._continue_job(conn, call, item)
        else:
            yield from self._finish_rollback(conn, item)

    def _report_reply(
        self,
        conn_pool: pool.ConnectionPool,
        conn: pool.Connection,
        call: sessions.UpstreamCall,
        item: session_items.CallReplied,
    ) -> Iterator[filters.Item]:
        wrote = steps.is_client_statement(call) and steps.commits_changes(
            conn.job
        )
        if conn_pool.record_reply(item.at) or wrote:
            yield session_items.UpstreamResponded(
                item.at, conn.upstream, conn.sent_at, item.reply.applied, wrote
            )

    def _continue_job(
        self,
        conn: pool.Connection,
        call: sessions.UpstreamCall,
        item: session_items.CallReplied,
    ) -> Iterator[filters.Item]:
        job, reply = conn.job, item.reply
        if reply.failure is None and conn.pending_calls:
            yield from self._send_next(conn, item.at)
            return
        conn.job = None
        conn.pending_calls.clear()
        self._queue.release(job, item.at, ran=reply.failure is None)
        yield from self._release_or_hold(conn, job, reply, item.at)
        if reply.failure is None:
            yield items.JobFinished(
                item.at, job, reply, None, "", conn.upstream
            )
            return
        is_client_statement = steps.is_client_statement(call)
        decision = retry.decide_after_failure_reply(
            job, reply, is_client_statement, item.at
        )
        yield from self._retry_or_fail(job, decision, reply, conn, item.at)

    def _release_or_hold(
        self,
        conn: pool.Connection,
        job: items.StatementJob,
        reply: sessions.UpstreamReply,
        now: float,
    ) -> Iterator[filters.Item]:
        """Releases a connection, or holds it for an open transaction."""
        is_idle = reply.state is sessions.TransactionState.IDLE
        if reply.failure is None and not is_idle:
            conn.client = job.client
            conn.set_state(pool.ConnectionState.HELD, now)
            self._held_connections[job.client] = conn
            return
        self._held_connections.pop(job.client, None)
        conn.client = None
        if is_idle:
            yield from self._release(conn, now)
        else:
            yield from self._roll_back(conn, now)

    def _retry_or_fail(
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
        yield from self._start_ready_jobs(now)

    # Connections.

    def _release(
        self, conn: pool.Connection, now: float
    ) -> Iterator[filters.Item]:
        conn.client = None
        conn.set_state(pool.ConnectionState.IDLE, now)
        conn_pool = self._pools.by_upstream[conn.upstream]
        yield from asks.expire_waiting((conn_pool,), now)
        if conn_pool.waiting_requests:
            yield from self._send_control_request(
                conn, conn_pool.waiting_requests.popleft(), now
            )
        else:
            yield from self._start_ready_jobs(now)

    def _roll_back(
        self,
        conn: pool.Connection,
        now: float,
        statement: sessions.Statement | None = None,
    ) -> Iterator[filters.Item]:
        yield from self._run_calls(conn, (sessions.Rollback(statement),), now)

    def _finish_rollback(
        self, conn: pool.Connection, item: session_items.CallReplied
    ) -> Iterator[filters.Item]:
        if item.reply.state is sessions.TransactionState.IDLE:
            yield from self._release(conn, item.at)
        else:
            yield from self._close(conn, "rollback failed", item.at)

    def _end_transaction(
        self, item: items.RollBackTransaction
    ) -> Iterator[filters.Item]:
        conn = self._held_connections.get(item.client)
        if conn is None:
            return
        if conn.state is pool.ConnectionState.HELD:
            del self._held_connections[item.client]
            conn.client = None
            yield from self._roll_back(conn, item.at, item.statement)
        else:
            yield from self._close(conn, "session closed", item.at)

    def _abort_transaction(
        self, conn: pool.Connection, job: items.StatementJob, now: float
    ) -> Iterator[filters.Item]:
        """Fails a statement whose transaction can't be committed any more."""
        yield items.JobFinished(
            now,
            job,
            None,
            sessions.Failure.ABORTED,
            receipts.REPLACED,
            conn.upstream,
        )
        yield from self._end_transaction(
            items.RollBackTransaction(now, job.client)
        )

    def _handle_opened(
        self, item: session_items.ConnectionOpened
    ) -> Iterator[filters.Item]:
        conn = self._pools.connections.get(item.connection_id)
        if conn is None:
            return
        conn_pool = self._pools.by_upstream[conn.upstream]
        conn_pool.record_opened()
        conn_pool.last_reply_at = item.at
        yield from self._release(conn, item.at)

    def _handle_connection_failure(
        self, item: session_items.ConnectionFailed
    ) -> Iterator[filters.Item]:
        conn = self._pools.connections.get(item.connection_id)
        if conn is None:
            return
        conn_pool = self._pools.by_upstream[conn.upstream]
        conn_pool.is_wrong_upstream = (
            item.refusal is sessions.Failure.WRONG_UPSTREAM
        )
        is_limit_reached = item.refusal in CONNECTION_LIMIT_FAILURES
        if is_limit_reached:
            self._pools.record_limit(conn, item.at)
        elif conn.state is pool.ConnectionState.OPENING:
            self._pools.record_open_failure(conn, item.at)
            yield from asks.fail_waiting(conn_pool, item.at)
        yield reports.connection_failed(conn_pool, conn, item)
        if not is_limit_reached:
            yield session_items.UpstreamSuspected(
                item.at, conn.upstream, item.error.code
            )
        yield from self._handle_loss(conn, item.error.code, item.at)

    def _close(
        self, conn: pool.Connection, detail: str, now: float
    ) -> Iterator[filters.Item]:
        """Closes a connection and handles the loss of its work."""
        yield self._pools.close(conn, now)
        yield from self._handle_loss(conn, detail, now)

    def _handle_loss(
        self, conn: pool.Connection, detail: str, now: float
    ) -> Iterator[filters.Item]:
        self._pools.remove(conn)
        if conn.client is not None:
            self._held_connections.pop(conn.client, None)
            if conn.job is None:
                yield items.TransactionLost(now, conn.client, detail)
        if conn.control_request is not None:
            yield asks.unanswered_result(
                conn.control_request, conn.sent_at, now
            )
        if conn.job is not None:
            job, conn.job = conn.job, None
            self._queue.release(job, now, ran=False)
            decision = retry.decide_after_connection_loss(job, detail, now)
            yield from self._retry_or_fail(job, decision, None, conn, now)
        yield from self._start_ready_jobs(now)

    # Control requests.

    def _submit_control_request(
        self, item: session_items.CallUpstream
    ) -> Iterator[filters.Item]:
        conn_pool = self._pools.by_upstream.get(item.upstream)
        if conn_pool is None:
            yield asks.unanswered_result(item, item.at, item.at)
            return
        idle = conn_pool.idle_connections()
        if idle:
            yield from self._send_control_request(idle[0], item, item.at)
            return
        conn_pool.waiting_requests.append(item)
        if not conn_pool.count(
            pool.ConnectionState.OPENING
        ) and conn_pool.may_open(item.at):
            yield self._pools.open(conn_pool, item.at)

    def _send_control_request(
        self,
        conn: pool.Connection,
        control_request: session_items.CallUpstream,
        now: float,
    ) -> Iterator[filters.Item]:
        conn.control_request = control_request
        yield from self._run_calls(conn, (control_request.call,), now)

    def _finish_control_request(
        self, conn: pool.Connection, item: session_items.CallReplied
    ) -> Iterator[filters.Item]:
        control_request, conn.control_request = conn.control_request, None
        yield session_items.UpstreamCallCompleted(
            item.at,
            control_request.upstream,
            control_request.call,
            conn.sent_at,
            item.reply,
        )
        yield from self._release(conn, item.at)

    # Ticks and views.

    def _update_members(
        self, view: replica_sets.ReplicaSetView
    ) -> Iterator[filters.Item]:
        self._queue.update_view(view)
        for conn in list(self._pools.set_members(view)):
            yield from self._close(conn, "upstream is gone", view.at)
        self._pools.set_permanent_upstreams(
            self._placement.permanent_upstreams(view)
        )
        yield from self._start_ready_jobs(view.at)

    def _tick(self, now: float) -> Iterator[filters.Item]:
        yield from watchdog.suspect_slow_upstreams(self._pools, now)
        yield from self._expire_connections(now)
        yield from self._expire_transactions(now)
        yield from self._reject_overdue(now)
        yield from asks.expire_waiting(self._pools.by_upstream.values(), now)
        yield from self._pools.open_permanent(now)
        for conn in self._pools.surplus_connections(now):
            yield self._pools.close(conn, now)
        yield from self._start_ready_jobs(now)
        if now >= self._next_pool_log_at:
            self._next_pool_log_at = now + POOL_LOG_INTERVAL_S
            yield reports.pool_sizes(self._pools, len(self._queue), now)

    def _expire_connections(self, now: float) -> Iterator[filters.Item]:
        for conn in self._pools.overdue_opens(now):
            self._pools.record_open_failure(conn, now)
            conn_pool = self._pools.by_upstream[conn.upstream]
            yield from asks.fail_waiting(conn_pool, now)
            yield from self._close(conn, "open timed out", now)
        for conn in watchdog.timed_out_connections(self._pools, now):
            yield from self._close(conn, "timeout", now)

    def _expire_transactions(self, now: float) -> Iterator[filters.Item]:
        """Rolls back the transactions that exceed the idle timeout."""
        idle_timeout_s = self._transaction_idle_s
        for conn in watchdog.idle_transaction_connections(
            self._pools, idle_timeout_s, now
        ):
            client = conn.client
            yield items.TransactionLost(now, client, "idle")
            yield from self._end_transaction(
                items.RollBackTransaction(now, client)
            )

    def _reject_overdue(self, now: float) -> Iterator[filters.Item]:
        for rejection in self._queue.dequeue_overdue(now):
            yield _rejected(rejection, now)


def _rejected(rejection: queue.Rejection, now: float) -> items.JobFinished:
    decision = retry.decide_after_rejection(rejection.reason)
    return items.JobFinished(
        now, rejection.job, None, decision.failure, decision.detail, ""
    )
