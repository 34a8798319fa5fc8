"""Writes: at most once, by a row of the ledger in the write's transaction.

A write takes two calls on one connection. The first opens the transaction,
claims the request id and runs the statements; the second records the answer
and commits. If the id is taken, the recorded answer is looked up instead.
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
    """What the call in flight does."""

    OPEN = "open"
    COMMIT = "commit"
    LOOK_UP = "look_up"


@dataclasses.dataclass(slots=True)
class Running:
    """A write that holds a connection.

    `verdict` is set once statements failed while an earlier attempt is in
    doubt: a tombstone shall make sure of it.
    """

    started: items.Started
    term: position.Term
    phase: Phase = Phase.OPEN
    results: tuple[request.ResultSet, ...] = ()
    verdict: errors.FescueshuntError | None = None

    @property
    def is_claimed(self) -> bool:
        """Whether the first statement claims the request id."""
        return not isinstance(self.work.origin, items.BackgroundOrigin)

    @property
    def work(self) -> items.Work:
        """The work that is run."""
        return self.started.work


class Write(filters.Filter):
    """Runs writes, and settles the outcome of earlier ones.

    A COMMIT that starts here has lost its transaction: it is settled.
    """

    KINDS = frozenset(
        {request.Kind.WRITE, request.Kind.OUTCOME, request.Kind.COMMIT}
    )

    def __init__(self, codec: ledger.ResultCodec) -> None:
        self._codec = codec
        self._running: dict[int, Running] = {}
        self._groups: dict[str, views.GroupView] = {}

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields calls, commits and returns for writes."""
        match item:
            case items.Started(work=work) if work.req.kind in self.KINDS:
                yield from self._open(item)
            case core_items.UpstreamReplied() if item.conn in self._running:
                running = self._running[item.conn]
                yield from self._replied(item, running)
            case core_items.UpstreamFailed() if item.conn in self._running:
                yield self._lost(item, self._running.pop(item.conn))
            case views.GroupView():
                self._groups[item.database] = item
                yield item
            case _:
                yield item

    def _open(self, item: items.Started) -> Iterator[filters.Item]:
        if item.at >= item.work.deadline:
            yield items.Released(item.at, item.conn, reusable=True)
            yield outcome.refuse(item.at, item.work, errors.DeadlineError())
            return
        view = self._groups[item.work.req.database]
        running = Running(item, view.term)
        self._running[item.conn] = running
        statements = _opening(running)
        yield self._call(item.at, running, upstream.Mode.BEGIN, statements)

    def _call(
        self,
        now: float,
        running: Running,
        mode: upstream.Mode,
        statements: tuple[request.Statement, ...],
    ) -> core_items.RunUpstream:
        return calls.execute(
            now,
            running.started.conn,
            running.work,
            mode,
            running.term,
            statements,
        )

    def _lost(
        self, item: core_items.UpstreamFailed, running: Running
    ) -> filters.Item:
        too_large = isinstance(item.error, errors.FrameTooLargeError)
        if too_large and running.phase is Phase.OPEN:
            error = errors.ResultTooLargeError(item.error.detail)
            return outcome.refuse(item.at, running.work, error)
        return self._again(item.at, running, item.error)

    def _replied(
        self, item: core_items.UpstreamReplied, running: Running
    ) -> Iterator[filters.Item]:
        match item.reply:
            case upstream.Executed():
                yield from self._executed(item.at, running, item.reply)
            case upstream.Rejected():
                yield from self._rejected(item.at, running, item.reply)
            case _:
                yield from self._end(running, item.at, reusable=False)
                error = errors.FrameOrderError("not a result")
                yield self._again(item.at, running, error)

    def _executed(
        self, now: float, running: Running, reply: upstream.Executed
    ) -> Iterator[filters.Item]:
        match running.phase:
            case Phase.OPEN:
                yield from self._commit(now, running, reply)
            case Phase.COMMIT:
                yield from self._end(running, now)
                yield self._committed(now, running, reply)
            case Phase.LOOK_UP:
                yield from self._end(running, now)
                yield self._looked_up(now, running, reply)

    def _commit(
        self, now: float, running: Running, reply: upstream.Executed
    ) -> Iterator[filters.Item]:
        running.results = reply.results[int(running.is_claimed) :]
        error = limits.check_results(running.results)
        if error is None and now >= running.work.deadline:
            error = errors.DeadlineError()
        if error is not None:
            yield from self._end(running, now, reusable=False)
            yield outcome.refuse(now, running.work, error)
            return
        running.phase = Phase.COMMIT
        yield self._call(
            now, running, upstream.Mode.COMMIT, self._recording(running)
        )

    def _recording(self, running: Running) -> tuple[request.Statement, ...]:
        """Returns the statement that records the answer, if there is one."""
        req = running.work.req
        records = running.is_claimed and running.verdict is None
        if not records or req.kind is not request.Kind.WRITE:
            return ()
        answer = self._codec.encode(running.results)
        return (ledger.record(req.request_id, answer),)

    def _committed(
        self, now: float, running: Running, reply: upstream.Executed
    ) -> filters.Item:
        work = running.work
        if not running.is_claimed:
            rows = sum(result.changed for result in running.results)
            return items.Purged(now, work.req.database, rows)
        answer = self._answer(running, running.results)
        return items.Committed(now, work, answer, reply.history.last)

    def _rejected(
        self, now: float, running: Running, reply: upstream.Rejected
    ) -> Iterator[filters.Item]:
        claimed = (
            running.phase is Phase.OPEN
            and running.is_claimed
            and reply.reason is upstream.Reason.CONSTRAINT
            and reply.statement == 0
        )
        if claimed:
            running.phase = Phase.LOOK_UP
            look_up = ledger.look_up(_subject(running.work.req))
            yield self._call(now, running, upstream.Mode.READ, (look_up,))
            return
        if reply.reason in STATEMENT_REASONS:
            error = errors.StatementError(reply.detail)
            yield from self._fail(now, running, error)
            return
        yield from self._end(running, now)
        error = errors.NoPrimaryError(reply.reason.value)
        yield self._again(now, running, error, doubt=False)

    def _fail(
        self, now: float, running: Running, error: errors.FescueshuntError
    ) -> Iterator[filters.Item]:
        """Refuses a write, after a tombstone if an attempt is in doubt."""
        if running.work.in_doubt and running.verdict is None:
            running.verdict = error
            running.phase = Phase.OPEN
            statements = _opening(running)
            yield self._call(now, running, upstream.Mode.BEGIN, statements)
            return
        yield from self._end(running, now)
        yield outcome.refuse(now, running.work, error)

    def _looked_up(
        self, now: float, running: Running, reply: upstream.Executed
    ) -> filters.Item:
        work = running.work
        row = ledger.read_row(reply.results)
        if row is None:
            return self._again(now, running, errors.NoPrimaryError())
        if row.state is ledger.RowState.TOMBSTONE:
            answer = request.Answer(
                work.req.request_id, error=_cancelled(work.req)
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
        answer = self._answer(running, results, repeated=True)
        return items.Committed(now, work, answer, reply.history.last)

    def _answer(
        self,
        running: Running,
        results: tuple[request.ResultSet, ...],
        repeated: bool = False,
    ) -> request.Answer:
        req = running.work.req
        error = running.verdict
        if req.kind is not request.Kind.WRITE:
            error = _cancelled(req)
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

    def _end(
        self, running: Running, now: float, reusable: bool = True
    ) -> Iterator[filters.Item]:
        del self._running[running.started.conn]
        yield items.Released(now, running.started.conn, reusable)

    def _again(
        self,
        now: float,
        running: Running,
        error: errors.FescueshuntError,
        doubt: bool | None = None,
    ) -> items.Retried:
        if doubt is None:
            doubt = running.phase is Phase.COMMIT
        work = dataclasses.replace(
            running.work,
            error=error,
            in_doubt=running.work.in_doubt or doubt,
            suggested="",
        )
        view = self._groups.get(work.req.database)
        brief = route.brief_of(view) if view is not None else None
        return items.Retried(now, work, brief)


STATEMENT_REASONS = frozenset(
    {upstream.Reason.CONSTRAINT, upstream.Reason.STATEMENT}
)


def _opening(running: Running) -> tuple[request.Statement, ...]:
    """Returns what the first call runs: the claim and the statements."""
    req = running.work.req
    if not running.is_claimed:
        return req.statements
    if req.kind is request.Kind.WRITE and running.verdict is None:
        mark = ledger.fingerprint(req)
        claim = ledger.insert(req.request_id, mark, ledger.RowState.RUN)
        return (claim, *req.statements)
    subject = _subject(req)
    return (ledger.insert(subject, b"", ledger.RowState.TOMBSTONE),)


def _cancelled(req: request.Request) -> errors.FescueshuntError:
    if req.kind is request.Kind.COMMIT:
        return errors.TransactionLostError()
    return errors.RequestCancelledError()


def _subject(req: request.Request) -> bytes:
    if req.kind is request.Kind.OUTCOME:
        return req.transaction
    return req.request_id
