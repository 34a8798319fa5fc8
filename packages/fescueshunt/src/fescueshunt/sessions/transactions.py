"""Keeps the open transactions of clients on connections, and ends them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import failures, sessions
from fescueshunt.sessions import calls, items, pool, receipts, watchdog

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import filters
    from fescueshunt.sessions import connection_closer, pools, statement_runner

CONNECTION_GONE = "connection of the transaction is gone"


class TransactionManager:
    """Holds the connections that transactions are open on.

    Attributes:
      idle_timeout_s: how long a transaction may be idle between statements.
    """

    def __init__(
        self,
        pool_manager: pools.PoolManager,
        runner: statement_runner.StatementRunner,
        closer: connection_closer.ConnectionCloser,
    ) -> None:
        self.idle_timeout_s = float("inf")
        self._pools = pool_manager
        self._runner = runner
        self._closer = closer

    def release_or_hold(
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
            self._pools.held_by_client[job.client] = conn
            return
        self._pools.held_by_client.pop(job.client, None)
        conn.client = None
        if is_idle:
            yield from self._runner.release(conn, now)
        else:
            yield from calls.roll_back(conn, now)

    def end(self, item: items.RollBackTransaction) -> Iterator[filters.Item]:
        """Ends a client's transaction, if one is open at an upstream.

        Rolls it back, or closes its connection if a call is in flight.
        """
        conn = self._pools.held_by_client.get(item.client)
        if conn is None:
            return
        if conn.state is pool.ConnectionState.HELD:
            del self._pools.held_by_client[item.client]
            conn.client = None
            yield from calls.roll_back(conn, item.at, item.statement)
        else:
            yield from self._closer.close(conn, "session closed", item.at)

    def fail_without_connection(
        self, job: items.StatementJob, now: float
    ) -> Iterator[filters.Item]:
        """Fails a statement whose transaction ended with its connection."""
        yield items.JobFinished(
            now, job, None, failures.Failure.ABORTED, CONNECTION_GONE, ""
        )

    def abort(
        self, conn: pool.Connection, job: items.StatementJob, now: float
    ) -> Iterator[filters.Item]:
        """Fails a statement whose transaction can't be committed any more."""
        yield items.JobFinished(
            now,
            job,
            None,
            failures.Failure.ABORTED,
            receipts.REPLACED,
            conn.upstream,
        )
        yield from self.end(items.RollBackTransaction(now, job.client))

    def expire_idle(self, now: float) -> Iterator[filters.Item]:
        """Rolls back the transactions that exceed the idle timeout."""
        for conn in watchdog.idle_transaction_connections(
            self._pools, self.idle_timeout_s, now
        ):
            client = conn.client
            yield items.TransactionLost(now, client, "idle")
            yield from self.end(items.RollBackTransaction(now, client))
