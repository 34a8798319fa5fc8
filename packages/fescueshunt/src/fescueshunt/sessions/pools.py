"""The connection pools of this host, one for each upstream."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from fescueshunt.core import (
    hosts,
    loans,
    replica_sets,
    routes,
    session_items,
    store_items,
)
from fescueshunt.sessions import lender_choice, pool

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator, Mapping

    from fescueshunt.core import filters
    from fescueshunt.sessions import items

OPEN_TIMEOUT_S = 1.0
# After an upstream reached its connection limit, this host takes turns with the
# other hosts at its connections for this long.
TIME_SHARING_S = 1.0


class PoolManager:
    """Opens and closes connections, and divides them among the hosts.

    Attributes:
      by_upstream: the connection pools by the id of their upstream.
      connections: the connections of all pools by their number.
      held_by_client: the connections that clients' transactions are open on, by
        the id of the client connection.
    """

    def __init__(self, rng: random.Random, *, lends: bool = False) -> None:
        self.lender_choice = lender_choice.LenderChoice(rng, lends=lends)
        self.by_upstream: dict[str, pool.ConnectionPool] = {}
        self.connections: dict[int, pool.Connection] = {}
        self.held_by_client: dict[int, pool.Connection] = {}
        self._rng = rng
        self._connection_ids = itertools.count(1)
        self._host_count = 1
        self._policies: dict[str, routes.ReplicaSetPolicy] = {}
        self._time_sharing_until = 0.0

    def set_hosts(self, view: store_items.LiveHostsView) -> None:
        """Divides the connections of each upstream among the live hosts."""
        self.lender_choice.set_hosts(view)
        self._host_count = max(len(view.names), 1)
        self._distribute_shares()

    def set_policies(self, view: routes.RoutesView) -> None:
        """Applies the connection limits of the routes in force."""
        self.lender_choice.set_routes(view)
        self._policies = dict(view.databases)
        self._distribute_shares()

    def requested_count(self, job: items.StatementJob) -> int:
        """Returns how many connections are being opened that may run `job`.

        Counts those to all members of its replica set, as far as they were
        requested for statements that are as urgent.
        """
        return sum(
            conn.state is pool.ConnectionState.OPENING
            and conn.account == job.connection_account
            and conn.priority <= job.rank.order
            for conn_pool in self.by_upstream.values()
            if conn_pool.entry.database == job.route.database
            for conn in conn_pool.connections.values()
        )

    def running_jobs(self) -> set[items.StatementJob]:
        """Returns the statements in flight on all connections."""
        return {
            conn.job
            for conn in self.connections.values()
            if conn.job is not None
        }

    def set_members(
        self, view: replica_sets.ReplicaSetView
    ) -> Iterator[pool.Connection]:
        """Keeps one pool for each member of a replica set.

        Yields the connections to close: those to members that were removed or
        have a new address.
        """
        names = set()
        for member in view.members:
            names.add(member.upstream)
            conn_pool = self.by_upstream.get(member.upstream)
            if conn_pool is None:
                conn_pool = pool.ConnectionPool(member.entry)
                self.by_upstream[member.upstream] = conn_pool
                self._distribute_shares()
            elif conn_pool.entry.address != member.entry.address:
                yield from list(conn_pool.connections.values())
            conn_pool.entry = member.entry
        for upstream, conn_pool in list(self.by_upstream.items()):
            if (
                conn_pool.entry.database == view.database
                and upstream not in names
            ):
                yield from list(conn_pool.connections.values())
                del self.by_upstream[upstream]

    def set_permanent_upstreams(
        self, permanent_by_upstream: Mapping[str, bool]
    ) -> None:
        """Sets to which upstreams one connection always stays open."""
        for upstream, is_permanent in permanent_by_upstream.items():
            if upstream in self.by_upstream:
                self.by_upstream[upstream].is_permanent = is_permanent

    def open(
        self, conn_pool: pool.ConnectionPool, now: float, account: str = ""
    ) -> filters.Item:
        """Starts to open a connection for statements of `account`."""
        conn = pool.Connection(
            next(self._connection_ids), conn_pool.entry.upstream, now, account
        )
        self._add(conn_pool, conn)
        return session_items.OpenConnection(
            now, conn.number, conn_pool.entry, account
        )

    def _add(
        self, conn_pool: pool.ConnectionPool, conn: pool.Connection
    ) -> None:
        conn_pool.connections[conn.number] = conn
        self.connections[conn.number] = conn

    def open_for(
        self,
        conn_pool: pool.ConnectionPool,
        job: items.StatementJob,
        now: float,
    ) -> Iterator[filters.Item]:
        """Opens or borrows a connection for a statement if that is possible.

        Where there is no room, the connection of another account that has been
        idle for longest is closed for it.
        """
        lender = self.lender_choice.lender_of(conn_pool.entry, now)
        if lender is not None:
            if conn_pool.may_borrow(job.rank.order, now):
                yield self._borrow(conn_pool, lender, job, now)
            return
        account = job.connection_account
        if not conn_pool.is_open_due(now):
            return
        if not conn_pool.has_room(now):
            others = [
                conn
                for conn in conn_pool.idle_connections()
                if conn.account != account
            ]
            if not others:
                return
            yield self.close(others[0], now)
        yield self.open(conn_pool, now, account)

    def _borrow(
        self,
        conn_pool: pool.ConnectionPool,
        lender: hosts.HostInfo,
        job: items.StatementJob,
        now: float,
    ) -> filters.Item:
        """Asks a lender for a connection for a statement."""
        conn = pool.Connection(
            next(self._connection_ids),
            conn_pool.entry.upstream,
            now,
            job.connection_account,
            lender.name,
            job.rank.order,
        )
        self._add(conn_pool, conn)
        request = loans.LoanRequest(
            conn.number,
            conn.upstream,
            conn.account,
            job.rank.order,
            max(job.target_at - now, 0.0),
            max(job.queue_deadline - now, 0.0),
            job.settings.values,
            job.prepared.name if job.prepared is not None else "",
        )
        return session_items.BorrowConnection(
            now, conn.number, lender.name, lender.peer_address, request
        )

    def greet_lenders(self, now: float) -> Iterator[filters.Item]:
        """Opens the links to lenders that are due."""
        for conn_pool in self.by_upstream.values():
            if not conn_pool.is_lent:
                continue
            lender = self.lender_choice.greet(conn_pool.entry, now)
            if lender is not None:
                yield session_items.GreetLender(
                    now, lender.name, lender.peer_address
                )

    def give_back_idle(
        self, conn_pool: pool.ConnectionPool, now: float
    ) -> Iterator[filters.Item]:
        """Gives the borrowed connections back that no statement uses."""
        for conn in conn_pool.idle_connections():
            if conn.lender:
                self.remove(conn)
                yield session_items.ReturnConnection(now, conn.number)

    def ask_position(
        self, database: str, primary: str, now: float
    ) -> Iterator[filters.Item]:
        """Asks the lender of the primary for the position of its log."""
        conn_pool = self.by_upstream.get(primary)
        if conn_pool is None:
            return
        lender = self.lender_choice.lender_of(conn_pool.entry, now)
        if lender is not None:
            yield session_items.AskPosition(
                now, database, lender.name, lender.peer_address
            )

    def close(self, conn: pool.Connection, now: float) -> filters.Item:
        """Closes a connection and removes it from its pool."""
        self.remove(conn)
        return session_items.CloseConnection(now, conn.number)

    def remove(self, conn: pool.Connection) -> None:
        """Removes a connection, closed or being closed, from its pool."""
        self.connections.pop(conn.number, None)
        conn_pool = self.by_upstream.get(conn.upstream)
        if conn_pool is not None:
            conn_pool.connections.pop(conn.number, None)

    def record_open_failure(self, conn: pool.Connection, now: float) -> None:
        """Records a failure to open a connection; extends the back-off."""
        conn_pool = self.by_upstream.get(conn.upstream)
        if conn_pool is not None:
            conn_pool.reconnect.record_failure(now, self._rng)

    def record_limit(self, conn: pool.Connection, now: float) -> None:
        """Records that the upstream of `conn` reached its connection limit."""
        self._time_sharing_until = now + TIME_SHARING_S
        conn_pool = self.by_upstream.get(conn.upstream)
        if conn_pool is not None:
            conn_pool.record_limit(now, self._rng)

    def open_permanent(self, now: float) -> Iterator[filters.Item]:
        """Opens the permanent connections that are missing.

        Does not open them while hosts take turns at connections: right after
        many hosts have restarted, the upstreams still count the connections of
        the former processes.
        """
        time_sharing = now < self._time_sharing_until
        for conn_pool in self.by_upstream.values():
            if conn_pool.takes_turns(time_sharing):
                continue
            leaving = conn_pool.entry.draining or not conn_pool.entry.listed
            missing = (
                conn_pool.is_permanent
                and not conn_pool.connections
                and not leaving
            )
            if missing and conn_pool.may_open(now):
                yield self.open(conn_pool, now)

    def surplus_connections(self, now: float) -> list[pool.Connection]:
        """Returns the idle connections to close."""
        time_sharing = now < self._time_sharing_until
        return [
            conn
            for conn_pool in self.by_upstream.values()
            for conn in conn_pool.surplus_connections(now, time_sharing)
            if not conn.lender
        ]

    def overdue_opens(self, now: float) -> list[pool.Connection]:
        """Returns the connections that took longer than the open timeout."""
        return [
            conn
            for conn in self.connections.values()
            if conn.state is pool.ConnectionState.OPENING
            and not conn.lender
            and now - conn.state_since > OPEN_TIMEOUT_S
        ]

    def _distribute_shares(self) -> None:
        for conn_pool in self.by_upstream.values():
            conn_pool.is_lent = self.lender_choice.is_lent(
                conn_pool.entry.database
            )
            policy = self._policies.get(conn_pool.entry.database)
            if policy is not None:
                upstream_limit = policy.max_connections
                conn_pool.fair_share = max(
                    upstream_limit // self._host_count, 1
                )
                unreserved = max(
                    upstream_limit - conn_pool.fair_share * self._host_count, 0
                )
                conn_pool.is_scarce = upstream_limit < self._host_count
                conn_pool.max_size = conn_pool.fair_share + int(
                    unreserved * pool.BORROWED_SHARE
                )
                if conn_pool.is_scarce:
                    conn_pool.max_size = max(
                        int(upstream_limit * pool.SCARCE_SHARE), 1
                    )
