"""The filter that runs statements and control requests on connections.

It passes each item to the part that handles it: the runner of the statements,
the transactions, the control requests or the connections to close.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from fescueshunt.core import (
    connection_settings,
    failures,
    filters,
    replica_sets,
    routes,
    session_items,
    sessions,
    store_items,
)
from fescueshunt.sessions import (
    asks,
    calls,
    connection_closer,
    control_requests,
    items,
    pool,
    pools,
    queue,
    reply_checks,
    reports,
    retry,
    statement_runner,
    steps,
    transactions,
    watchdog,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from fescueshunt.sessions import choose

POOL_LOG_INTERVAL_S = 2.0
MAX_LOGGED_NAMES = 10_000


class Dispatcher(filters.Filter):
    """Assigns queued statements to connections and handles the replies."""

    def __init__(
        self,
        placement: choose.PlacementPolicy,
        rng: random.Random,
        *,
        lends: bool = False,
    ) -> None:
        self._placement = placement
        self._pools = pools.PoolManager(rng, lends=lends)
        self._queue = queue.StatementQueue(placement, self._pools)
        self._runner = statement_runner.StatementRunner(
            self._queue, self._pools
        )
        self._closer = connection_closer.ConnectionCloser(
            self._pools, self._queue, self._runner
        )
        self._transactions = transactions.TransactionManager(
            self._pools, self._runner, self._closer
        )
        self._next_pool_log_at = 0.0
        self._logged_names: set[str] = set()
        self._completed_calls: collections.Counter[str] = collections.Counter()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields calls on connections, and the result of each statement."""
        match item:
            case session_items.CallReplied():
                yield from self._handle_reply(item)
            case items.JobSubmitted():
                yield from self._submit(item.job, item.at)
            case items.RollBackTransaction():
                yield from self._transactions.end(item)
            case session_items.ConnectionOpened():
                yield from self._handle_opened(item)
            case session_items.ConnectionFailed():
                yield from self._closer.handle_failure(item)
            case session_items.CallUpstream():
                yield from control_requests.submit(self._pools, item)
            case replica_sets.ReplicaSetView():
                yield from self._update_members(item)
            case filters.Tick():
                yield from self._tick(item.at)
            case routes.RoutesView():
                self._pools.set_policies(item)
                self._transactions.idle_timeout_s = item.transaction_idle_s
            case store_items.LiveHostsView():
                self._pools.set_hosts(item)
            case _:
                yield item

    def _submit(
        self, job: items.StatementJob, now: float
    ) -> Iterator[filters.Item]:
        conn = self._pools.held_by_client.get(job.client)
        if not job.continues_transaction:
            if conn is not None:
                # It is left from another transaction.
                yield from self._transactions.end(
                    items.RollBackTransaction(now, job.client)
                )
            yield from self._runner.enqueue(job, now)
        elif conn is None:
            yield from self._transactions.fail_without_connection(job, now)
        elif self._queue.may_continue(job, conn.upstream):
            yield from self._runner.start(conn, job, None, now)
        else:
            yield from self._transactions.abort(conn, job, now)

    def _handle_reply(
        self, item: session_items.CallReplied
    ) -> Iterator[filters.Item]:
        conn = self._pools.connections.get(item.connection_id)
        if conn is None:
            return
        if not conn.pending_calls:
            # Later replies could be taken for those of other calls. A
            # connection that is still opening fails by itself.
            if conn.state is not pool.ConnectionState.OPENING:
                yield from self._close_after_unexpected_reply(conn, None, item)
            return
        conn_pool = self._pools.by_upstream[conn.upstream]
        call = conn.pending_calls.popleft()
        yield from calls.report_reply(conn_pool, conn, call, item)
        if connection_settings.is_setup_call(call) and self._is_news(
            call, item.reply
        ):
            yield from reports.setup_call_replied(conn, call, item)
        if item.reply.failure is None:
            self._completed_calls[type(call).__name__] += 1
        conn.settings.record_outcome(call, item.reply.failure)
        if reply_checks.must_close(conn, call, item.reply):
            yield from self._close_after_unexpected_reply(conn, call, item)
        elif conn.control_request is not None:
            yield from control_requests.finish(conn, item)
            yield from self._runner.release(conn, item.at)
        elif conn.job is not None:
            yield from self._continue_job(conn, call, item)
        else:
            yield from self._runner.release(conn, item.at)

    def _is_news(
        self, call: sessions.UpstreamCall, reply: sessions.UpstreamReply
    ) -> bool:
        """Returns whether the outcome of a set-up call is to be logged.

        A statement has the same name on all connections, which is logged once.
        """
        if reply.failure is not None or not isinstance(call, sessions.Prepare):
            return True
        if call.name in self._logged_names:
            return False
        if len(self._logged_names) >= MAX_LOGGED_NAMES:
            self._logged_names.clear()
        self._logged_names.add(call.name)
        return True

    def _close_after_unexpected_reply(
        self,
        conn: pool.Connection,
        call: sessions.UpstreamCall | None,
        item: session_items.CallReplied,
    ) -> Iterator[filters.Item]:
        """Closes a connection; `call` is None if none was in flight."""
        yield reports.unexpected_reply(conn, call, item)
        yield from self._closer.close(
            conn,
            reply_checks.DETAIL,
            item.at,
            may_have_committed=reply_checks.may_have_committed(
                conn.job, item.reply
            ),
        )

    def _continue_job(
        self,
        conn: pool.Connection,
        call: sessions.UpstreamCall,
        item: session_items.CallReplied,
    ) -> Iterator[filters.Item]:
        job, reply = conn.job, item.reply
        if reply.failure is None and conn.pending_calls:
            yield from calls.send_next(conn, item.at)
            return
        conn.job = None
        conn.pending_calls.clear()
        self._queue.release(job, item.at, ran=reply.failure is None)
        yield from self._transactions.release_or_hold(conn, job, reply, item.at)
        if reply.failure is None:
            yield items.JobFinished(
                item.at, job, reply, None, "", conn.upstream
            )
            return
        # Any upstream refuses a write in a transaction declared read-only.
        is_client_error = job.read_only and job.writes
        if reply.failure is failures.Failure.READ_ONLY and not is_client_error:
            yield session_items.UpstreamSuspected(
                item.at, conn.upstream, reply.failure.value
            )
        is_client_statement = steps.is_client_statement(call)
        decision = retry.decide_after_failure_reply(
            job, reply, is_client_statement, item.at
        )
        yield from self._runner.retry_or_fail(
            job, decision, reply, conn, item.at
        )

    def _handle_opened(
        self, item: session_items.ConnectionOpened
    ) -> Iterator[filters.Item]:
        conn = self._pools.connections.get(item.connection_id)
        if conn is None:
            return
        conn_pool = self._pools.by_upstream[conn.upstream]
        if conn.lender:
            conn.settings = item.settings
            conn_pool.record_expected(item.expected_s, item.at)
        else:
            conn_pool.record_opened()
            conn_pool.last_reply_at = item.at
        yield from self._runner.release(conn, item.at)

    def _update_members(
        self, view: replica_sets.ReplicaSetView
    ) -> Iterator[filters.Item]:
        self._queue.update_view(view)
        for conn in list(self._pools.set_members(view)):
            yield from self._closer.close(conn, "upstream is gone", view.at)
        self._pools.set_permanent_upstreams(
            self._placement.permanent_upstreams(view)
        )
        yield from self._runner.start_ready(view.at)

    def _tick(self, now: float) -> Iterator[filters.Item]:
        yield from watchdog.suspect_slow_upstreams(self._pools, now)
        yield from self._closer.close_overdue(now)
        yield from self._transactions.expire_idle(now)
        self._queue.release_lost(self._pools.running_jobs(), now)
        yield from self._runner.reject_overdue(now)
        yield from asks.expire_waiting(self._pools.by_upstream.values(), now)
        yield from self._pools.open_permanent(now)
        yield from self._queue.end_unneeded_loans(now)
        yield from self._pools.greet_lenders(now)
        for conn in self._pools.surplus_connections(now):
            yield self._pools.close(conn, now)
        yield from self._runner.start_ready(now)
        if now >= self._next_pool_log_at:
            self._next_pool_log_at = now + POOL_LOG_INTERVAL_S
            yield reports.pool_sizes(
                self._pools, len(self._queue), self._completed_calls, now
            )
