"""Lends connections to upstreams to the hosts that ask for them."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import (
    failures,
    filters,
    loans,
    peer_items,
    replica_sets,
    routes,
    session_items,
    sessions,
)
from fescueshunt.lending import loan_answers, loan_pool, loan_reports

if TYPE_CHECKING:
    from collections.abc import Iterator

# After an upstream has refused a connection, the next one is opened so much
# later.
REFUSAL_PAUSE_S = 0.05
REPORT_INTERVAL_S = 0.05
LOG_INTERVAL_S = 2.0
OPEN_TIMED_OUT = "open timed out"
NOT_LENT = "this host lends no connections to the upstream"


class Lender(filters.Filter):
    """Opens connections to upstreams and passes on what borrowers run there.

    Its connections have negative ids, as those of the sessions pipe are
    positive.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._pools: dict[str, loan_pool.LoanPool] = {}
        self._views: dict[str, replica_sets.ReplicaSetView] = {}
        self._policies: dict[str, routes.ReplicaSetPolicy] = {}
        self._pool_of: dict[int, loan_pool.LoanPool] = {}
        self._loans: dict[tuple[int, int], loan_pool.Loan] = {}
        self._numbers = itertools.count(-1, -1)
        self._reported_at: dict[str, float] = {}
        self._next_log_at = 0.0

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields answers to borrowers, and calls on connections."""
        match item:
            case peer_items.PeerAsked():
                yield from self._handle_message(item)
            case peer_items.PeerLinkEnded():
                yield from self._end_link(item)
            case (
                session_items.ConnectionOpened()
                | session_items.CallReplied()
                | session_items.ConnectionFailed()
            ):
                yield from self._handle_event(item)
            case replica_sets.ReplicaSetView():
                yield from self._update_members(item)
            case routes.RoutesView():
                self._policies = dict(item.databases)
                self._apply_policies()
            case filters.Tick():
                yield from self._tick(item.at)
            case _:
                yield item

    def _update_members(
        self, view: replica_sets.ReplicaSetView
    ) -> Iterator[filters.Item]:
        self._views[view.database] = view
        entries = {member.upstream: member.entry for member in view.members}
        for upstream, pool in list(self._pools.items()):
            if pool.entry.database != view.database:
                continue
            entry = entries.get(upstream)
            if entry is None or entry.address != pool.entry.address:
                yield from self._close_pool(pool, view.at)
                del self._pools[upstream]
            else:
                pool.entry = entry

    def _close_pool(
        self, pool: loan_pool.LoanPool, now: float
    ) -> Iterator[filters.Item]:
        gone = errors.UpstreamLostError("upstream is gone")
        for loan in pool.remove_expired(float("inf")):
            yield self._fail(loan, gone, now)
        for conn in list(pool.connections.values()):
            yield from self._close(pool, conn, gone, now)

    def _apply_policies(self) -> None:
        for pool in self._pools.values():
            policy = self._policies.get(pool.entry.database)
            if policy is not None:
                pool.set_max_connections(policy.max_connections)

    def _find_pool(self, upstream: str) -> loan_pool.LoanPool | None:
        pool = self._pools.get(upstream)
        if pool is not None:
            return pool
        for view in self._views.values():
            member = view.member(upstream)
            if member is not None:
                pool = loan_pool.LoanPool(member.entry)
                self._pools[upstream] = pool
                self._apply_policies()
                return pool
        return None

    # Messages of borrowers.

    def _handle_message(
        self, item: peer_items.PeerAsked
    ) -> Iterator[filters.Item]:
        message = item.message
        match message:
            case loans.LoanRequest():
                yield from self._request(item, message)
            case loans.RunCall():
                yield from self._run(item, message)
            case loans.ReturnLoan() | loans.EndLoan():
                yield from self._end_loan(item, message)
            case loans.Ping():
                yield self._answer(item.link, loans.Pong(), item.at)
            case loans.PositionRequest():
                view = self._views.get(message.database)
                report = loan_answers.position_report(
                    message.database, view, item.at
                )
                yield self._answer(item.link, report, item.at)
            case _:
                yield item

    def _answer(
        self, link: int, message: peer_items.PeerMessage, now: float
    ) -> filters.Item:
        return peer_items.answer(self._own_name, link, message, now)

    def _request(
        self, item: peer_items.PeerAsked, request: loans.LoanRequest
    ) -> Iterator[filters.Item]:
        loan = loan_pool.Loan(
            item.link, item.host, request, item.at, item.at + request.wait_s
        )
        pool = self._find_pool(request.upstream)
        if pool is None:
            yield self._fail(loan, errors.LoanRefusedError(NOT_LENT), item.at)
            return
        wait_s = pool.add(loan, item.at)
        if wait_s is not None:
            refusal = errors.LoanRefusedError("", wait_s)
            yield self._fail(loan, refusal, item.at)
            return
        self._loans[item.link, request.loan] = loan
        yield from self._start_waiting(pool, item.at)

    def _start_waiting(
        self, pool: loan_pool.LoanPool, now: float
    ) -> Iterator[filters.Item]:
        for result in pool.starts(self._numbers, now):
            match result:
                case loan_pool.Loan():
                    late = errors.LoanRefusedError("", pool.recent_wait_s)
                    yield self._fail(result, late, now)
                case loan_pool.Start():
                    yield from self._start(pool, result, now)

    def _start(
        self, pool: loan_pool.LoanPool, start: loan_pool.Start, now: float
    ) -> Iterator[filters.Item]:
        conn = start.conn
        if start.evicted is not None:
            del self._pool_of[start.evicted.number]
            yield session_items.CloseConnection(now, start.evicted.number)
        self._pool_of[conn.number] = pool
        if conn.state is loan_pool.LoanState.LENT:
            yield self._grant(pool, start.loan, now)
        else:
            yield session_items.OpenConnection(
                now, conn.number, pool.entry, conn.account
            )

    def _grant(
        self,
        pool: loan_pool.LoanPool,
        loan: loan_pool.Loan,
        now: float,
    ) -> filters.Item:
        granted = loan_answers.granted(pool, loan)
        return self._answer(loan.link, granted, now)

    def _run(
        self, item: peer_items.PeerAsked, message: loans.RunCall
    ) -> Iterator[filters.Item]:
        loan = self._loans.get((item.link, message.loan))
        conn = loan.conn if loan is not None else None
        if conn is None or conn.state is not loan_pool.LoanState.LENT:
            return
        conn.call = message.call
        conn.has_called = True
        conn.called_at = conn.heard_at = item.at
        yield session_items.SendCall(item.at, conn.number, message.call)

    def _end_loan(
        self,
        item: peer_items.PeerAsked,
        message: loans.ReturnLoan | loans.EndLoan,
    ) -> Iterator[filters.Item]:
        loan = self._loans.pop((item.link, message.loan), None)
        if loan is not None:
            is_clean = isinstance(message, loans.ReturnLoan)
            yield from self._finish(loan, item.at, is_clean=is_clean)

    def _finish(
        self, loan: loan_pool.Loan, now: float, *, is_clean: bool = False
    ) -> Iterator[filters.Item]:
        """Ends a loan; its connection is kept if it `is_clean`."""
        pool = self._pools.get(loan.request.upstream)
        if pool is None:
            return
        conn = loan.conn
        if conn is None:
            pool.remove(loan)
        elif conn.state is loan_pool.LoanState.OPENING:
            # It serves a later request.
            pool.detach(conn)
        elif is_clean and conn.call is None and not conn.in_transaction:
            pool.release(conn, now)
        else:
            yield self._drop(pool, conn, now)
        yield from self._start_waiting(pool, now)

    def _end_link(
        self, item: peer_items.PeerLinkEnded
    ) -> Iterator[filters.Item]:
        ended = [key for key in self._loans if key[0] == item.link]
        for key in ended:
            loan = self._loans.pop(key)
            yield from self._finish(loan, item.at)

    # Events of connections.

    def _handle_event(
        self,
        item: session_items.ConnectionOpened
        | session_items.CallReplied
        | session_items.ConnectionFailed,
    ) -> Iterator[filters.Item]:
        """Handles an event of a lent connection; passes others on."""
        pool = self._pool_of.get(item.connection_id)
        if pool is None:
            yield item
            return
        conn = pool.connections[item.connection_id]
        match item:
            case session_items.ConnectionOpened():
                yield from self._handle_opened(pool, conn, item.at)
            case session_items.CallReplied():
                yield from self._handle_reply(pool, conn, item)
            case session_items.ConnectionFailed():
                yield from self._handle_failure(pool, conn, item)

    def _handle_opened(
        self,
        pool: loan_pool.LoanPool,
        conn: loan_pool.LoanConnection,
        now: float,
    ) -> Iterator[filters.Item]:
        if conn.loan is None:
            pool.release(conn, now)
            yield from self._start_waiting(pool, now)
            return
        conn.state, conn.state_since = loan_pool.LoanState.LENT, now
        conn.heard_at = now
        yield self._grant(pool, conn.loan, now)

    def _handle_reply(
        self,
        pool: loan_pool.LoanPool,
        conn: loan_pool.LoanConnection,
        item: session_items.CallReplied,
    ) -> Iterator[filters.Item]:
        call, conn.call = conn.call, None
        if call is None or conn.loan is None:
            unexpected = errors.UpstreamLostError("unexpected reply")
            yield from self._close(pool, conn, unexpected, item.at)
            return
        conn.settings.record_outcome(call, item.reply.failure)
        conn.in_transaction = (
            item.reply.state is not sessions.TransactionState.IDLE
        )
        took_s = item.at - conn.called_at
        conn.loan.busy_s += took_s
        if item.reply.failure is None and loan_reports.is_statement(call):
            running = pool.active_count(item.at) + 1
            pool.learned.record(
                loan_reports.kind(conn.loan, call), took_s, running
            )
        yield from self._report_reply(pool, conn, item)
        done = loans.CallDone(conn.loan.request.loan, item.reply)
        yield self._answer(conn.loan.link, done, item.at)
        yield from self._start_waiting(pool, item.at)

    def _report_reply(
        self,
        pool: loan_pool.LoanPool,
        conn: loan_pool.LoanConnection,
        item: session_items.CallReplied,
    ) -> Iterator[filters.Item]:
        """Reports a reply to the other pipes of this host, if it is due."""
        upstream = pool.entry.upstream
        reported_at = self._reported_at.get(upstream, replica_sets.NEVER)
        if item.at - reported_at >= REPORT_INTERVAL_S:
            self._reported_at[upstream] = item.at
            yield session_items.UpstreamResponded(
                item.at, upstream, conn.called_at, item.reply.applied, False
            )

    def _handle_failure(
        self,
        pool: loan_pool.LoanPool,
        conn: loan_pool.LoanConnection,
        item: session_items.ConnectionFailed,
    ) -> Iterator[filters.Item]:
        if item.refusal in failures.NO_ROOM:
            pool.paused_until = item.at + REFUSAL_PAUSE_S
            loan = pool.detach(conn)
            self._remove(pool, conn)
            if loan is not None:
                pool.put_back(loan)
            return
        error = errors.UpstreamLostError(item.error.code)
        yield from self._close(pool, conn, error, item.at, item.refusal)
        yield from self._start_waiting(pool, item.at)

    def _remove(
        self, pool: loan_pool.LoanPool, conn: loan_pool.LoanConnection
    ) -> None:
        del pool.connections[conn.number]
        del self._pool_of[conn.number]

    def _drop(
        self,
        pool: loan_pool.LoanPool,
        conn: loan_pool.LoanConnection,
        now: float,
    ) -> filters.Item:
        self._remove(pool, conn)
        return session_items.CloseConnection(now, conn.number)

    def _close(
        self,
        pool: loan_pool.LoanPool,
        conn: loan_pool.LoanConnection,
        error: errors.FescueshuntError,
        now: float,
        refusal: failures.Failure | None = None,
    ) -> Iterator[filters.Item]:
        """Closes a connection and tells its borrower why."""
        loan = pool.detach(conn)
        yield self._drop(pool, conn, now)
        if loan is not None:
            yield self._fail(loan, error, now, refusal)

    def _fail(
        self,
        loan: loan_pool.Loan,
        error: errors.FescueshuntError,
        now: float,
        refusal: failures.Failure | None = None,
    ) -> filters.Item:
        self._loans.pop((loan.link, loan.request.loan), None)
        failed = loan_answers.failed(loan, error, refusal)
        return self._answer(loan.link, failed, now)

    def _tick(self, now: float) -> Iterator[filters.Item]:
        silent = errors.LoanRefusedError("the borrower was silent")
        timed_out = errors.UpstreamLostError(OPEN_TIMED_OUT)
        for pool in self._pools.values():
            for loan in pool.remove_expired(now):
                late = errors.LoanRefusedError("", pool.recent_wait_s)
                yield self._fail(loan, late, now)
            for conn in pool.idle_too_long(now):
                yield self._drop(pool, conn, now)
            for conn in pool.abandoned(now):
                yield from self._close(pool, conn, silent, now)
            for conn in pool.overdue(now):
                yield from self._close(pool, conn, timed_out, now)
            yield from self._start_waiting(pool, now)
        if self._pools and now >= self._next_log_at:
            self._next_log_at = now + LOG_INTERVAL_S
            yield loan_reports.summary(self._pools, now)
