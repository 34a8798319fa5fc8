"""Opens, borrows and gives up connections as waiting statements need them."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from fescueshunt.sessions import pool

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from fescueshunt.core import filters
    from fescueshunt.sessions import choose, items, pools


class ConnectionDemand:
    """Finds which connections the statements of a queue lack.

    Args:
      pool_manager: the pools of this host.
      candidates: returns the upstreams that may run a statement now, the best
        one first.
    """

    def __init__(
        self,
        pool_manager: pools.PoolManager,
        candidates: Callable[
            [items.StatementJob, float], list[choose.Candidate]
        ],
    ) -> None:
        self._pools = pool_manager
        self._candidates = candidates

    def open_connections(
        self, waiting_jobs: Iterable[items.StatementJob], now: float
    ) -> Iterator[filters.Item]:
        """Opens connections to the upstreams that statements wait for.

        Opens at most one for each account at each upstream, and only if fewer
        are being opened than statements have it as their best candidate.
        Borrows for the most urgent statements first, so that each is covered by
        a request as urgent as itself.
        """
        waiting: dict[tuple[str, str], list[items.StatementJob]] = {}
        lent: collections.Counter[tuple[str, str]] = collections.Counter()
        by_urgency = sorted(waiting_jobs, key=lambda j: j.rank.order)
        for job in by_urgency:
            candidates = self._candidates(job, now)
            if not candidates:
                continue
            upstream, account = candidates[0].upstream, job.connection_account
            conn_pool = self._pools.by_upstream[upstream]
            if not conn_pool.is_lent:
                waiting.setdefault((upstream, account), []).append(job)
                continue
            lent[job.route.database, account] += 1
            count = lent[job.route.database, account]
            if self._pools.requested_count(job) < count:
                yield from self._pools.open_for(conn_pool, job, now)
        for (upstream, account), jobs in waiting.items():
            conn_pool = self._pools.by_upstream[upstream]
            if conn_pool.opening_count_of(account) < len(jobs):
                yield from self._pools.open_for(conn_pool, jobs[0], now)

    def end_unneeded_loans(
        self, waiting_jobs: Iterable[items.StatementJob], now: float
    ) -> Iterator[filters.Item]:
        """Withdraws the requests for connections that no statement needs."""
        waiting = collections.Counter(
            (job.route.database, job.connection_account) for job in waiting_jobs
        )
        requested = [
            conn
            for conn in self._pools.connections.values()
            if conn.lender and conn.state is pool.ConnectionState.OPENING
        ]
        for conn in sorted(requested, key=lambda each: each.priority):
            database = self._pools.by_upstream[conn.upstream].entry.database
            if waiting[database, conn.account] > 0:
                waiting[database, conn.account] -= 1
            else:
                yield self._pools.close(conn, now)
