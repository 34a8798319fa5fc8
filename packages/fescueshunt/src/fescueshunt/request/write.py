"""Filter that runs each write at most once, by means of the ledger.

A write takes two calls on one connection. The first begins a transaction,
inserts the request id into the ledger and runs the statements. The second
records the answer in the ledger and commits. If the ledger already has the id,
the recorded answer is read instead.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import (
    filters,
    position,
    request,
    upstream,
    views,
)
from fescueshunt.core import (
    items as core_items,
)
from fescueshunt.request import calls, items, ledger, limits, outcome, route

if TYPE_CHECKING:
    from collections.abc import Iterator


class Phase(enum.Enum):
    """The purpose of the call in flight."""

    OPEN = "open"
    COMMIT = "commit"
    LOOK_UP = "look_up"


@dataclasses.dataclass(slots=True)
class RunningWrite:
    """A write that holds a connection.

    Attributes:
      started: the work and its connection.
      term: the term of the primary when the write began.
      phase: the purpose of the call in flight.
      results: the results of the statements.
      statement_error: the error of the statements, set if they failed while an
        earlier attempt is in doubt; a tombstone is then committed before the
        error is reported, so that the earlier attempt can't run.
    """

    started: items.Started
    term: position.Term
    phase: Phase = Phase.OPEN
    results: tuple[request.ResultSet, ...] = ()
    statement_error: errors.FescueshuntError | None = None

    @property
    def claims_request_id(self) -> bool:
        """Whether the write inserts its request id into the ledger."""
        return not isinstance(self.work.origin, items.BackgroundOrigin)

    @property
    def work(self) -> items.Work:
        """The work that holds the connection."""
        return self.started.work


class Write(filters.Filter):
    """Runs writes, and determines the outcome of earlier writes.

    A COMMIT reaches this filter only if its transaction is lost. Its outcome is
    then determined from the ledger.
    """

    KINDS = frozenset(
        {request.Kind.WRITE, request.Kind.OUTCOME, request.Kind.COMMIT}
    )

    def __init__(self, codec: ledger.ResultCodec) -> None:
        self._codec = codec
        self._running: dict[int, RunningWrite] = {}
        self._groups: dict[str, views.GroupView] = {}

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields calls, commits, refusals and retries of writes."""
        match item:
            case items.Started(work=work) if work.req.kind in self.KINDS:
                yield from self._begin(item)
            case core_items.UpstreamReplied() if item.conn in self._running:
                running = self._running[item.conn]
                yield from self._handle_reply(item, running)
            case core_items.UpstreamFailed() if item.conn in self._running:
                yield self._handle_failure(item, self._running.pop(item.conn))
            case views.GroupView():
                self._groups[item.database] = item
                yield item
                yield from self._retry_replaced(item)
            case _:
                yield item

    def _retry_replaced(self, view: views.GroupView) -> Iterator[filters.Item]:
        """Retries the writes that run at a primary of an older term.

        The call in flight may be silent until its timeout. A write whose commit
        was sent is in doubt until the new primary has settled it.
        """
        for running in list(self._running.values()):
            is_affected = running.work.req.database == view.database
            if is_affected and running.term < view.term:
                yield from self._release_connection(
                    running, view.at, reusable=False
                )
                yield self._retry(view.at, running, errors.NoPrimaryError())

    def _begin(self, item: items.Started) -> Iterator[filters.Item]:
        if item.at >= item.work.deadline:
            yield items.ConnectionReleased(item.at, item.conn, reusable=True)
            yield outcome.refuse(item.at, item.work, errors.DeadlineError())
            return
        view = self._groups[item.work.req.database]
        running = RunningWrite(item, view.term)
        self._running[item.conn] = running
        statements = _begin_statements(running)
        yield self._build_call(
            item.at, running, upstream.Mode.BEGIN, statements
        )

    def _build_call(
        self,
        now: float,
        running: RunningWrite,
        mode: upstream.Mode,
        statements: tuple[request.Statement, ...],
    ) -> core_items.RunUpstream:
        return calls.build_execute(
            now,
            running.started.conn,
            running.work,
            mode,
            running.term,
            statements,
        )

    def _handle_failure(
        self, item: core_items.UpstreamFailed, running: RunningWrite
    ) -> filters.Item:
        too_large = isinstance(item.error, errors.FrameTooLargeError)
        if too_large and running.phase is Phase.OPEN:
            error = errors.ResultTooLargeError(item.error.detail)
            return outcome.refuse(item.at, running.work, error)
        return self._retry(item.at, running, item.error)

    def _handle_reply(
        self, item: core_items.UpstreamReplied, running: RunningWrite
    ) -> Iterator[filters.Item]:
        match item.reply:
            case upstream.Executed():
                yield from self._handle_executed(item.at, running, item.reply)
            case upstream.Rejected():
                yield from self._handle_rejected(item.at, running, item.reply)
            case _:
                yield from self._release_connection(
                    running, item.at, reusable=False
                )
                error = errors.FrameOrderError("not a result")
                yield self._retry(item.at, running, error)

    def _handle_executed(
        self, now: float, running: RunningWrite, reply: upstream.Executed
    ) -> Iterator[filters.Item]:
        match running.phase:
            case Phase.OPEN:
                yield from self._start_commit(now, running, reply)
            case Phase.COMMIT:
                yield from self._release_connection(running, now)
                yield self._make_committed(now, running, reply)
            case Phase.LOOK_UP:
                yield from self._release_connection(running, now)
                yield self._handle_ledger_row(now, running, reply)

    def _start_commit(
        self, now: float, running: RunningWrite, reply: upstream.Executed
    ) -> Iterator[filters.Item]:
        running.results = reply.results[int(running.claims_request_id) :]
        error = limits.check_results(running.results)
        if error is None and now >= running.work.deadline:
            error = errors.DeadlineError()
        if error is not None:
            yield from self._release_connection(running, now, reusable=False)
            yield outcome.refuse(now, running.work, error)
            return
        running.phase = Phase.COMMIT
        yield self._build_call(
            now, running, upstream.Mode.COMMIT, self._answer_statements(running)
        )

    def _answer_statements(
        self, running: RunningWrite
    ) -> tuple[request.Statement, ...]:
        """Returns the statements that record the answer in the ledger.

        The tuple is empty for a purge, for a tombstone, and for every request
        kind except WRITE.
        """
        req = running.work.req
        records_answer = (
            running.claims_request_id and running.statement_error is None
        )
        if not records_answer or req.kind is not request.Kind.WRITE:
            return ()
        answer = self._codec.encode(running.results)
        return (ledger.update_statement(req.request_id, answer),)

    def _make_committed(
        self, now: float, running: RunningWrite, reply: upstream.Executed
    ) -> filters.Item:
        work = running.work
        if not running.claims_request_id:
            rows = sum(result.changed for result in running.results)
            return items.LedgerPurged(now, work.req.database, rows)
        answer = self._make_answer(running, running.results)
        return items.Committed(now, work, answer, reply.history.last)

    def _handle_rejected(
        self, now: float, running: RunningWrite, reply: upstream.Rejected
    ) -> Iterator[filters.Item]:
        is_duplicate_id = (
            running.phase is Phase.OPEN
            and running.claims_request_id
            and reply.reason is upstream.Reason.CONSTRAINT
            and reply.statement == 0
        )
        if is_duplicate_id:
            running.phase = Phase.LOOK_UP
            select = ledger.select_statement(_ledger_key(running.work.req))
            yield self._build_call(now, running, upstream.Mode.READ, (select,))
            return
        if reply.reason in STATEMENT_FAILURE_REASONS:
            error = errors.StatementError(reply.detail)
            yield from self._refuse_or_tombstone(now, running, error)
            return
        yield from self._release_connection(running, now)
        error = errors.NoPrimaryError(reply.reason.value)
        yield self._retry(now, running, error, may_have_committed=False)

    def _refuse_or_tombstone(
        self, now: float, running: RunningWrite, error: errors.FescueshuntError
    ) -> Iterator[filters.Item]:
        """Refuses a write whose statements failed.

        If an earlier attempt is in doubt, inserts a tombstone first.
        """
        if running.work.in_doubt and running.statement_error is None:
            running.statement_error = error
            running.phase = Phase.OPEN
            statements = _begin_statements(running)
            yield self._build_call(
                now, running, upstream.Mode.BEGIN, statements
            )
            return
        yield from self._release_connection(running, now)
        yield outcome.refuse(now, running.work, error)

    def _handle_ledger_row(
        self, now: float, running: RunningWrite, reply: upstream.Executed
    ) -> filters.Item:
        work = running.work
        row = ledger.parse_row(reply.results)
        if row is None:
            return self._retry(now, running, errors.NoPrimaryError())
        if row.state is ledger.RowState.TOMBSTONE:
            answer = request.Answer(
                work.req.request_id, error=_cancelled_error(work.req)
            )
            return items.Committed(now, work, answer, reply.history.last)
        if work.req.kind is not request.Kind.OUTCOME and (
            row.fingerprint != ledger.fingerprint(work.req)
        ):
            answer = request.Answer(
                work.req.request_id, error=errors.RequestIdReusedError()
            )
            return items.Committed(now, work, answer, reply.history.last)
        results = self._codec.decode(row.answer)
        answer = self._make_answer(running, results, repeated=True)
        return items.Committed(now, work, answer, reply.history.last)

    def _make_answer(
        self,
        running: RunningWrite,
        results: tuple[request.ResultSet, ...],
        repeated: bool = False,
    ) -> request.Answer:
        req = running.work.req
        error = running.statement_error
        if req.kind is not request.Kind.WRITE:
            error = _cancelled_error(req)
        if repeated:
            error = None
        if error is not None:
            results = ()
        return request.Answer(
            req.request_id,
            results,
            upstream=running.started.upstream,
            repeated=repeated,
            error=error,
        )

    def _release_connection(
        self, running: RunningWrite, now: float, reusable: bool = True
    ) -> Iterator[filters.Item]:
        del self._running[running.started.conn]
        yield items.ConnectionReleased(now, running.started.conn, reusable)

    def _retry(
        self,
        now: float,
        running: RunningWrite,
        error: errors.FescueshuntError,
        may_have_committed: bool | None = None,
    ) -> items.RetryNeeded:
        if may_have_committed is None:
            may_have_committed = running.phase is Phase.COMMIT
        work = dataclasses.replace(
            running.work,
            error=error,
            in_doubt=running.work.in_doubt or may_have_committed,
            suggested="",
        )
        view = self._groups.get(work.req.database)
        brief = route.group_brief(view) if view is not None else None
        return items.RetryNeeded(now, work, brief)


STATEMENT_FAILURE_REASONS = frozenset(
    {upstream.Reason.CONSTRAINT, upstream.Reason.STATEMENT}
)


def _begin_statements(running: RunningWrite) -> tuple[request.Statement, ...]:
    """Returns the statements of the first call.

    A write inserts its request id and runs its statements; a purge only runs
    its statements. After failed statements, and for all other kinds, the call
    inserts a tombstone for the id whose outcome is to be determined.
    """
    req = running.work.req
    if not running.claims_request_id:
        return req.statements
    if req.kind is request.Kind.WRITE and running.statement_error is None:
        request_fingerprint = ledger.fingerprint(req)
        claim = ledger.insert_statement(
            req.request_id, request_fingerprint, ledger.RowState.RUN
        )
        return (claim, *req.statements)
    ledger_key = _ledger_key(req)
    return (
        ledger.insert_statement(ledger_key, b"", ledger.RowState.TOMBSTONE),
    )


def _cancelled_error(req: request.Request) -> errors.FescueshuntError:
    if req.kind is request.Kind.COMMIT:
        return errors.TransactionLostError()
    return errors.RequestCancelledError()


def _ledger_key(req: request.Request) -> bytes:
    """Returns the request id whose ledger row determines the outcome."""
    if req.kind is request.Kind.OUTCOME:
        return req.transaction
    return req.request_id
