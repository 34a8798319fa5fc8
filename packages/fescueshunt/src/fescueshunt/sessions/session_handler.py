"""The filter that holds the state of client sessions and answers clients.

Statements that need no upstream are answered at once: those that begin a
transaction, set a session value or prepare a statement. A transaction begins at
an upstream with its first statement, so that a transaction without statements
occupies no connection.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import (
    failures,
    filters,
    process,
    routes,
    session_items,
    sessions,
)
from fescueshunt.sessions import (
    access,
    answers,
    closed_sessions,
    items,
    jobs,
    local_statements,
    readiness,
    reports,
    settings_limits,
    shutdown,
    unanswered,
)
from fescueshunt.sessions import session as client_session

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import accounts

    ClientEnd = (
        session_items.SessionClosed
        | session_items.RequestMalformed
        | session_items.ClientDisconnected
    )

IDLE = sessions.TransactionState.IDLE
OPEN = sessions.TransactionState.OPEN
FAILED = sessions.TransactionState.FAILED
UNKNOWN_KEY = "unknown key"


class SessionHandler(filters.Filter):
    """Answers statements that need no upstream; submits the others as jobs."""

    def __init__(self, grace_s: float) -> None:
        self._sessions: dict[int, client_session.Session] = {}
        self._closed_sessions = closed_sessions.ClosedSessions()
        self._routes: routes.RoutesView | None = None
        self._shutdown = shutdown.Shutdown(grace_s)
        self._unanswered = unanswered.UnansweredStatements()
        self._limits = settings_limits.SettingsLimits()
        self._access = access.AccessControl()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields answers to clients, and jobs for upstreams."""
        match item:
            case session_items.StatementReceived():
                yield from self._receive_statement(item)
            case items.JobFinished():
                yield from self._finish_job(item)
            case session_items.SessionRequested():
                yield from self._open_session(item)
            case session_items.SendSessionAnswer():
                yield from self._close_after_answer(item)
                yield item
            case (
                session_items.SessionClosed()
                | session_items.RequestMalformed()
                | session_items.ClientDisconnected()
            ):
                yield from self._end_session(item)
            case session_items.ClientDropped():
                yield reports.client_dropped(item)
            case items.TransactionLost():
                self._mark_transaction_lost(item.client)
            case routes.RoutesView():
                self._routes = item
                self._access.update(item)
                yield item
            case filters.Tick():
                yield from self._answer_lost(item.at)
                yield from self._close_sessions(item.at)
                yield item
            case items.ReadinessView():
                isolated = item.reason == readiness.ISOLATED
                self._shutdown.set_isolated(isolated, item.at)
                yield item
            case (
                items.StopStarted()
                | session_items.StopListening()
                | process.Stopped()
            ):
                yield from self._follow_stop(item)
                yield item
            case _:
                yield item

    def _open_session(
        self, item: session_items.SessionRequested
    ) -> Iterator[filters.Item]:
        if self._routes is None:
            failure = failures.Failure.BUSY
        elif item.route not in self._routes.routes:
            failure = failures.Failure.NO_DATABASE
        elif self._identify(item.key, item.route) is None:
            failure = failures.Failure.DENIED
            yield reports.key_refused(item.route, item.at)
        else:
            session = client_session.Session(
                item.client, item.route, item.key, opened_at=item.at
            )
            self._sessions[item.client] = session
            if self._shutdown.is_stopping:
                yield self._stop_event("session_accepted_at_stop", item.at)
            yield session_items.AcceptSession(item.at, item.client)
            return
        yield session_items.RejectSession(
            item.at, item.client, failure, item.route
        )

    def _end_session(self, item: ClientEnd) -> Iterator[filters.Item]:
        match item:
            case session_items.SessionClosed():
                yield session_items.CloseSession(item.at, item.client)
            case session_items.RequestMalformed():
                yield session_items.RejectSession(
                    item.at,
                    item.client,
                    failures.Failure.INVALID,
                    item.detail,
                )
            case session_items.ClientDisconnected():
                self._closed_sessions.discard(item.client)
        yield from self._remove_session(item.client, item.at)

    def _remove_session(
        self, client: int, now: float
    ) -> Iterator[filters.Item]:
        session = self._sessions.pop(client, None)
        self._unanswered.discard(client)
        self._limits.remove_session(client)
        if session is not None and session.begun_upstream:
            yield items.RollBackTransaction(now, client)

    def _close_after_answer(
        self, answer: session_items.SendSessionAnswer
    ) -> Iterator[filters.Item]:
        """Closes the session of the answer if it can't go on here."""
        self._unanswered.discard(answer.client)
        session = self._sessions.get(answer.client)
        if session is None:
            return
        is_idle = session.state is IDLE
        if session.is_broken or (
            is_idle and self._shutdown.is_draining(answer.at)
        ):
            yield from self._close_session(session, answer.at)

    def _close_session(
        self, session: client_session.Session, now: float
    ) -> Iterator[filters.Item]:
        self._closed_sessions.add(session)
        yield session_items.CloseSession(now, session.client)
        yield from self._remove_session(session.client, now)

    def _receive_statement(
        self, item: session_items.StatementReceived
    ) -> Iterator[filters.Item]:
        session = self._sessions.get(item.client)
        if session is None:
            yield from self._closed_sessions.refuse(item)
            return
        self._unanswered.add(item)
        statement = item.statement
        if session.is_broken:
            yield answers.failure(
                session, statement, failures.Failure.BUSY, item.at
            )
            return
        if session.state is FAILED:
            yield from local_statements.answer_in_failed_transaction(
                session, statement, item.at
            )
            return
        match statement.verb:
            case sessions.Verb.BEGIN:
                yield from self._begin_transaction(session, statement, item.at)
            case sessions.Verb.ROLLBACK:
                yield from local_statements.roll_back(
                    session, statement, item.at
                )
            case sessions.Verb.SET_VALUE:
                yield local_statements.set_value(
                    session, statement, self._limits, item.at
                )
            case sessions.Verb.PREPARE:
                yield local_statements.prepare(
                    session, statement, self._limits, item.at
                )
            case sessions.Verb.DEALLOCATE:
                yield local_statements.deallocate(
                    session, statement, self._limits, item.at
                )
            case sessions.Verb.COMMIT if session.state is IDLE:
                yield answers.failure(
                    session, statement, failures.Failure.INVALID, item.at
                )
            case sessions.Verb.INVALID:
                yield answers.failure(
                    session, statement, failures.Failure.INVALID, item.at
                )
            case _:
                yield from self._submit_statement(session, statement, item.at)

    def _begin_transaction(
        self,
        session: client_session.Session,
        statement: sessions.Statement,
        now: float,
    ) -> Iterator[filters.Item]:
        account = self._identify(session.key, session.route)
        if session.state is IDLE and account is None:
            yield from self._deny(session, statement, now)
            return
        yield local_statements.begin_transaction(
            session,
            statement,
            self._route_of(session),
            account or access.NO_ACCOUNT,
            now,
            is_draining=self._shutdown.is_draining(now),
        )

    def _submit_statement(
        self,
        session: client_session.Session,
        statement: sessions.Statement,
        now: float,
    ) -> Iterator[filters.Item]:
        in_transaction = session.state is OPEN
        if in_transaction:
            route = session.transaction_route
            account = session.transaction_account
        else:
            route = self._route_of(session)
            account = self._identify(session.key, session.route)
        if route is None:
            yield from self._fail_statement(
                session, statement, failures.Failure.NO_DATABASE, now
            )
            return
        if account is None:
            yield from self._deny(session, statement, now)
            return
        prepared = None
        if statement.verb is sessions.Verb.EXECUTE:
            prepared = session.prepared.get(statement.name)
            if prepared is None:
                yield answers.failure(
                    session, statement, failures.Failure.NO_STATEMENT, now
                )
                return
        job = jobs.make_job(session, statement, route, prepared, account, now)
        job.limit_deadline(self._shutdown.statement_deadline)
        if now >= job.answer_deadline:
            yield from self._fail_statement(
                session, statement, failures.Failure.BUSY, now
            )
            return
        session.job = job
        session.has_written |= job.writes
        yield items.JobSubmitted(now, job)

    def _finish_job(self, item: items.JobFinished) -> Iterator[filters.Item]:
        job = item.job
        session = self._sessions.get(job.client)
        if item.failure is not None:
            yield reports.statement_failed(item)
        if session is None or session.job is not job:
            if job.in_transaction and item.failure is None:
                yield items.RollBackTransaction(item.at, job.client)
            return
        session.job = None
        if item.failure is None:
            session.record_success(job, item.reply)
        elif job.in_transaction:
            session.record_failure(job.statement)
            session.begun_upstream = False
        answer = sessions.SessionAnswer(
            rows=item.reply.rows if item.reply else (),
            receipt=item.reply.receipt if item.reply else "",
            failure=item.failure,
            detail=item.detail,
            state=session.state,
        )
        yield session_items.SendSessionAnswer(
            item.at, session.client, job.statement.statement_id, answer
        )

    def _fail_statement(
        self,
        session: client_session.Session,
        statement: sessions.Statement,
        failure: failures.Failure,
        now: float,
    ) -> Iterator[filters.Item]:
        if session.state is OPEN:
            session.record_failure(statement)
        if session.begun_upstream:
            session.begun_upstream = False
            yield items.RollBackTransaction(now, session.client)
        yield answers.failure(session, statement, failure, now)

    def _answer_lost(self, now: float) -> Iterator[filters.Item]:
        """Answers the statements that a filter failed at.

        What became of them is unknown, so their sessions can't go on.
        """
        for item in self._unanswered.find_lost(self._sessions, now):
            self._unanswered.discard(item.client)
            session = self._sessions[item.client]
            session.job = None
            session.is_broken = True
            yield reports.statement_lost(item, now)
            yield from self._fail_statement(
                session, item.statement, failures.Failure.IN_DOUBT, now
            )
            yield items.RollBackTransaction(now, item.client)

    def _mark_transaction_lost(self, client: int) -> None:
        session = self._sessions.get(client)
        if session is not None and session.begun_upstream:
            session.begun_upstream = False
            session.state = FAILED

    def _identify(self, key: accounts.KeyDigest, route: str) -> str | None:
        """Returns the account of a key: "" if not needed, None if denied."""
        in_force = self._routes.routes.get(route)
        if in_force is None:
            return access.NO_ACCOUNT
        return self._access.identify(key, in_force)

    def _deny(
        self,
        session: client_session.Session,
        statement: sessions.Statement,
        now: float,
    ) -> Iterator[filters.Item]:
        yield reports.key_refused(session.route, now, statement)
        yield answers.failure(
            session, statement, failures.Failure.DENIED, now, UNKNOWN_KEY
        )

    def _route_of(self, session: client_session.Session) -> routes.Route | None:
        if self._routes is None:
            return None
        return self._routes.routes.get(session.route)

    def _close_sessions(self, now: float) -> Iterator[filters.Item]:
        """Closes the sessions that wait for no answer and have to close."""
        if self._shutdown.keeps_all_sessions:
            return
        for session in list(self._sessions.values()):
            if session.client in self._unanswered:
                continue
            if self._shutdown.should_close(
                now, session.opened_at, session.state is not IDLE
            ):
                yield from self._close_session(session, now)

    def _follow_stop(self, item: filters.Item) -> Iterator[filters.Item]:
        if isinstance(item, items.StopStarted):
            self._shutdown.start(item.since)
            for session in self._sessions.values():
                if session.job is not None:
                    session.job.limit_deadline(
                        self._shutdown.statement_deadline
                    )
        elif isinstance(item, session_items.StopListening):
            self._shutdown.stop_listening()
        yield self._stop_event(reports.STOP_EVENTS[type(item)], item.at)

    def _stop_event(self, event: str, now: float) -> filters.Item:
        elapsed_s = self._shutdown.elapsed_s(now)
        return reports.stop_progress(
            event, self._sessions.values(), elapsed_s, now
        )
