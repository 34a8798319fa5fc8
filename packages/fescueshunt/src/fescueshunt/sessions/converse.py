"""Holds the conversation with each client: its session's state and answers.

What needs no upstream is answered at once: the beginning of a transaction,
values, prepared statements. A transaction begins upstream with its first
statement, so that an idle one holds no connection.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    position,
    process,
    routes,
    session_items,
    sessions,
)
from fescueshunt.sessions import items, readiness, shutdown, steps

if TYPE_CHECKING:
    from collections.abc import Iterator

# The part of its latency objective that a statement may wait to be sent.
WAIT_SHARE = 0.5
IDLE = sessions.TransactionState.IDLE
OPEN = sessions.TransactionState.OPEN
FAILED = sessions.TransactionState.FAILED


@dataclasses.dataclass(slots=True)
class Session:
    """A client's session.

    Attributes:
      values: what it has set; names once set stay.
      begin: the beginning of its transaction, and when it came.
      began_route: the route of its transaction.
      is_upstream: whether its transaction has begun upstream.
      last_commit: the position of its last commit, or None.
      work: the statement in flight, or None.
    """

    client: int
    route: str
    account: str = ""
    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: dict[str, sessions.Prepared] = dataclasses.field(
        default_factory=dict
    )
    state: sessions.TransactionState = IDLE
    begin: sessions.Statement | None = None
    began_at: float = 0.0
    began_route: routes.Route | None = None
    read_only: bool = False
    is_upstream: bool = False
    last_commit: position.Position | None = None
    work: items.Work | None = None


class Converse(filters.Filter):
    """Answers what it can by itself, and offers the rest as work."""

    def __init__(self, grace_s: float) -> None:
        self._sessions: dict[int, Session] = {}
        self._routes: routes.RoutesView | None = None
        self._shutdown = shutdown.Shutdown(grace_s)

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields answers, and work for upstreams."""
        match item:
            case session_items.StatementReceived():
                yield from self._receive(item)
            case items.WorkDone():
                yield from self._finish(item)
            case session_items.SessionRequested():
                yield from self._open(item)
            case session_items.SessionClosed():
                yield from self._close(item)
            case items.TransactionDropped():
                self._drop_transaction(item.client)
            case routes.RoutesView():
                self._routes = item
                yield item
            case filters.Tick():
                yield from self._tick(item.at)
                yield item
            case items.ReadinessView():
                cut_off = item.reason == readiness.CUT_OFF
                self._shutdown.set_cut_off(cut_off, item.at)
                yield item
            case process.StopAsked():
                self._shutdown.begin(item.at)
                yield item
            case _:
                yield item

    def _open(
        self, item: session_items.SessionRequested
    ) -> Iterator[filters.Item]:
        if self._routes is None:
            failure = sessions.Failure.BUSY
        elif item.route not in self._routes.routes:
            failure = sessions.Failure.NO_DATABASE
        else:
            session = Session(item.client, item.route, item.account)
            self._sessions[item.client] = session
            yield session_items.AcceptSession(item.at, item.client)
            return
        yield session_items.RejectSession(
            item.at, item.client, failure, item.route
        )

    def _close(
        self, item: session_items.SessionClosed
    ) -> Iterator[filters.Item]:
        session = self._sessions.pop(item.client, None)
        if session is not None and session.is_upstream:
            yield items.EndTransaction(item.at, item.client)

    def _receive(
        self, item: session_items.StatementReceived
    ) -> Iterator[filters.Item]:
        session = self._sessions.get(item.client)
        if session is None:
            return
        if session.work is not None:
            yield session_items.CloseSession(item.at, item.client)
            return
        statement = item.statement
        if session.state is FAILED:
            yield from self._receive_failed(session, statement, item.at)
            return
        match statement.verb:
            case sessions.Verb.BEGIN:
                yield self._begin(session, statement, item.at)
            case sessions.Verb.ROLLBACK:
                yield from self._roll_back(session, statement, item.at)
            case sessions.Verb.SET_VALUE:
                session.values[statement.name] = statement.argument
                yield _done(session, statement, item.at)
            case sessions.Verb.PREPARE:
                prepared = sessions.Prepared(statement.writes, statement.shape)
                session.prepared[statement.name] = prepared
                yield _done(session, statement, item.at)
            case sessions.Verb.DEALLOCATE:
                yield self._deallocate(session, statement, item.at)
            case sessions.Verb.COMMIT if session.state is IDLE:
                yield _failed(
                    session, statement, sessions.Failure.INVALID, item.at
                )
            case sessions.Verb.INVALID:
                yield _failed(
                    session, statement, sessions.Failure.INVALID, item.at
                )
            case _:
                yield from self._offer(session, statement, item.at)

    def _receive_failed(
        self, session: Session, statement: sessions.Statement, now: float
    ) -> Iterator[filters.Item]:
        """In a failed transaction only its end is accepted."""
        match statement.verb:
            case sessions.Verb.ROLLBACK:
                session.state = IDLE
                yield _done(session, statement, now)
            case sessions.Verb.COMMIT:
                session.state = IDLE
                yield _failed(session, statement, sessions.Failure.ABORTED, now)
            case _:
                yield _failed(session, statement, sessions.Failure.INVALID, now)

    def _begin(
        self, session: Session, statement: sessions.Statement, now: float
    ) -> filters.Item:
        if session.state is OPEN:
            return _failed(session, statement, sessions.Failure.INVALID, now)
        session.state = OPEN
        session.begin = statement
        session.began_at = now
        session.began_route = self._route_of(session)
        session.read_only = statement.read_only
        session.is_upstream = False
        return _done(session, statement, now)

    def _roll_back(
        self, session: Session, statement: sessions.Statement, now: float
    ) -> Iterator[filters.Item]:
        if session.is_upstream:
            yield items.EndTransaction(now, session.client, statement)
        session.state = IDLE
        session.is_upstream = False
        yield _done(session, statement, now)

    def _deallocate(
        self, session: Session, statement: sessions.Statement, now: float
    ) -> filters.Item:
        if session.prepared.pop(statement.name, None) is None:
            failure = sessions.Failure.NO_STATEMENT
            return _failed(session, statement, failure, now)
        return _done(session, statement, now)

    def _offer(
        self, session: Session, statement: sessions.Statement, now: float
    ) -> Iterator[filters.Item]:
        in_transaction = session.state is OPEN
        route = self._route_of(session)
        if in_transaction:
            route = session.began_route
        if route is None:
            yield from self._fail(
                session, statement, sessions.Failure.NO_DATABASE, now
            )
            return
        prepared = None
        if statement.verb is sessions.Verb.EXECUTE:
            prepared = session.prepared.get(statement.name)
            if prepared is None:
                yield _failed(
                    session, statement, sessions.Failure.NO_STATEMENT, now
                )
                return
        session.work = self._work(session, statement, route, prepared, now)
        yield items.WorkOffered(now, session.work)

    def _work(
        self,
        session: Session,
        statement: sessions.Statement,
        route: routes.Route,
        prepared: sessions.Prepared | None,
        now: float,
    ) -> items.Work:
        in_transaction = session.state is OPEN
        writes = statement.verb is sessions.Verb.WRITE or (
            prepared is not None and prepared.writes
        )
        may_read_replica = not writes and (
            session.read_only or not in_transaction
        )
        opens = in_transaction and not session.is_upstream
        strict = route.consistency is routes.Consistency.PRIMARY
        own = route.consistency is routes.Consistency.OWN_WRITES
        return items.Work(
            client=session.client,
            account=session.account,
            statement=statement,
            route=route,
            rank=route.rank,
            settings=sessions.SessionSettings(session.values, session.prepared),
            prepared=prepared,
            arrived_at=now,
            since_at=session.began_at if in_transaction else now,
            wait_s=route.target_s * WAIT_SHARE,
            refuse_at=now + route.target_s * WAIT_SHARE,
            expire_at=now + route.timeout_s,
            begin=session.begin if opens else None,
            in_transaction=in_transaction,
            read_only=in_transaction and session.read_only,
            needs_primary=strict or not may_read_replica,
            writes=writes,
            own_commit=session.last_commit if own else None,
        )

    def _finish(self, item: items.WorkDone) -> Iterator[filters.Item]:
        work = item.work
        session = self._sessions.get(work.client)
        if item.failure is not None:
            yield _explain(item)
        if session is None or session.work is not work:
            if work.in_transaction and item.failure is None:
                yield items.EndTransaction(item.at, work.client)
            return
        session.work = None
        if item.failure is None:
            self._note_success(session, work, item.reply)
        elif work.in_transaction:
            is_commit = work.statement.verb is sessions.Verb.COMMIT
            session.state = IDLE if is_commit else FAILED
            session.is_upstream = False
        answer = sessions.SessionAnswer(
            rows=item.reply.rows if item.reply else (),
            receipt=item.reply.receipt if item.reply else "",
            failure=item.failure,
            detail=item.detail,
            state=session.state,
        )
        yield session_items.SendSessionAnswer(
            item.at, session.client, work.statement.statement_id, answer
        )

    def _note_success(
        self,
        session: Session,
        work: items.Work,
        reply: sessions.UpstreamReply,
    ) -> None:
        if work.statement.verb is sessions.Verb.COMMIT:
            session.state = IDLE
            session.is_upstream = False
        elif work.in_transaction:
            session.is_upstream = True
        if steps.commits(work) and not work.read_only:
            session.last_commit = reply.applied

    def _fail(
        self,
        session: Session,
        statement: sessions.Statement,
        failure: sessions.Failure,
        now: float,
    ) -> Iterator[filters.Item]:
        if session.state is OPEN:
            is_commit = statement.verb is sessions.Verb.COMMIT
            session.state = IDLE if is_commit else FAILED
        if session.is_upstream:
            session.is_upstream = False
            yield items.EndTransaction(now, session.client)
        yield _failed(session, statement, failure, now)

    def _drop_transaction(self, client: int) -> None:
        session = self._sessions.get(client)
        if session is not None and session.is_upstream:
            session.is_upstream = False
            session.state = FAILED

    def _route_of(self, session: Session) -> routes.Route | None:
        if self._routes is None:
            return None
        return self._routes.routes.get(session.route)

    def _tick(self, now: float) -> Iterator[filters.Item]:
        if self._shutdown.is_idle:
            return
        for session in list(self._sessions.values()):
            idle = session.work is None
            if self._shutdown.should_close(
                now, idle, session.state is not IDLE
            ):
                del self._sessions[session.client]
                yield session_items.CloseSession(now, session.client)
                if session.is_upstream:
                    yield items.EndTransaction(now, session.client)
        if self._shutdown.is_over(now, len(self._sessions)):
            yield process.Stopped(now)


def _explain(item: items.WorkDone) -> session_items.LogDecision:
    """Returns the log line of a statement that got no success."""
    work = item.work
    details = {
        "outcome": item.failure.value,
        "why": item.detail,
        "route": work.route.name,
        "database": work.route.database,
        "verb": work.statement.verb.value,
        "in_transaction": work.in_transaction,
        "upstream": item.upstream,
        "tries": work.tries,
        "sent": work.sent,
        "took_s": round(item.at - work.arrived_at, 4),
    }
    return session_items.LogDecision(
        item.at, "statement_failed", work.statement.statement_id, details
    )


def _done(
    session: Session, statement: sessions.Statement, now: float
) -> filters.Item:
    answer = sessions.SessionAnswer(receipt="", state=session.state)
    return session_items.SendSessionAnswer(
        now, session.client, statement.statement_id, answer
    )


def _failed(
    session: Session,
    statement: sessions.Statement,
    failure: sessions.Failure,
    now: float,
) -> filters.Item:
    answer = sessions.SessionAnswer(failure=failure, state=session.state)
    return session_items.SendSessionAnswer(
        now, session.client, statement.statement_id, answer
    )
