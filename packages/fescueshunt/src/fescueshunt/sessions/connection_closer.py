"""Closes connections, and handles the loss of the work that they carried."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import failures, session_items
from fescueshunt.sessions import asks, items, pool, reports, retry, watchdog

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import filters
    from fescueshunt.sessions import pools, queue, statement_runner

# How long a lender that has refused a request is not asked again, at most.
MAX_CONGESTION_PAUSE_S = 0.1
OPEN_TIMED_OUT = "open timed out"


class ConnectionCloser:
    """Closes connections; fails or retries the work that was on them."""

    def __init__(
        self,
        pool_manager: pools.PoolManager,
        statement_queue: queue.StatementQueue,
        runner: statement_runner.StatementRunner,
    ) -> None:
        self._pools = pool_manager
        self._queue = statement_queue
        self._runner = runner

    def close(
        self,
        conn: pool.Connection,
        detail: str,
        now: float,
        *,
        may_have_committed: bool = False,
    ) -> Iterator[filters.Item]:
        """Closes a connection and handles the loss of its work.

        `may_have_committed` says whether writes of its transaction may
        have been committed.
        """
        yield self._pools.close(conn, now)
        yield from self._handle_loss(
            conn, detail, now, may_have_committed=may_have_committed
        )

    def handle_failure(
        self, item: session_items.ConnectionFailed
    ) -> Iterator[filters.Item]:
        """Handles a connection that failed, or that was refused."""
        conn = self._pools.connections.get(item.connection_id)
        if conn is None:
            return
        conn_pool = self._pools.by_upstream[conn.upstream]
        if conn.lender:
            yield from self._handle_loan_failure(conn_pool, conn, item)
            return
        conn_pool.is_wrong_upstream = (
            item.refusal is failures.Failure.WRONG_UPSTREAM
        )
        is_limit_reached = item.refusal in failures.NO_ROOM
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

    def _handle_loan_failure(
        self,
        conn_pool: pool.ConnectionPool,
        conn: pool.Connection,
        item: session_items.ConnectionFailed,
    ) -> Iterator[filters.Item]:
        """Handles a borrowed connection that failed, or that was not lent.

        What the lender says of an upstream is only a suspicion, which this host
        examines on a connection of its own.
        """
        match item.error:
            case errors.LenderLostError():
                self._pools.lender_choice.record_lost(conn.lender, item.at)
            case errors.LoanRefusedError():
                conn_pool.record_expected(item.error.retry_after_s, item.at)
                pause_s = min(item.error.retry_after_s, MAX_CONGESTION_PAUSE_S)
                conn_pool.congested_until[conn.priority] = item.at + pause_s
            case _:
                choice = self._pools.lender_choice
                choice.record_unfit(conn.upstream, item.at)
                yield session_items.UpstreamSuspected(
                    item.at, conn.upstream, item.error.code
                )
        yield reports.connection_failed(conn_pool, conn, item)
        yield from self._handle_loss(conn, item.error.code, item.at)

    def close_overdue(self, now: float) -> Iterator[filters.Item]:
        """Closes the connections that exceed a timeout."""
        for conn in self._pools.overdue_opens(now):
            self._pools.record_open_failure(conn, now)
            conn_pool = self._pools.by_upstream[conn.upstream]
            yield from asks.fail_waiting(conn_pool, now)
            yield session_items.UpstreamSuspected(
                now, conn.upstream, OPEN_TIMED_OUT
            )
            yield from self.close(conn, OPEN_TIMED_OUT, now)
        for conn in watchdog.timed_out_connections(self._pools, now):
            yield from self.close(conn, "timeout", now)

    def _handle_loss(
        self,
        conn: pool.Connection,
        detail: str,
        now: float,
        *,
        may_have_committed: bool = False,
    ) -> Iterator[filters.Item]:
        self._pools.remove(conn)
        if conn.client is not None:
            self._pools.held_by_client.pop(conn.client, None)
            if conn.job is None:
                yield items.TransactionLost(now, conn.client, detail)
        if conn.control_request is not None:
            yield asks.unanswered_result(
                conn.control_request, conn.sent_at, now
            )
        if conn.job is not None:
            job, conn.job = conn.job, None
            self._queue.release(job, now, ran=False)
            decision = retry.decide_after_connection_loss(
                job, detail, now, may_have_committed=may_have_committed
            )
            yield from self._runner.retry_or_fail(
                job, decision, None, conn, now
            )
        yield from self._runner.start_ready(now)
