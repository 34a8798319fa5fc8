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
from fescueshunt.request import items, ledger, outcome, route

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_CALL_S = 2.0


class Phase(enum.Enum):
    """What the call in flight does."""

    OPEN = "open"
    COMMIT = "commit"
    LOOK_UP = "look_up"


@dataclasses.dataclass(slots=True)
class Running:
    """A write that holds a connection."""

    started: items.Started
    term: position.Term
    phase: Phase = Phase.OPEN
    results: tuple[request.ResultSet, ...] = ()

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
                yield self._open(item)
            case core_items.UpstreamReplied() if item.conn in self._running:
                running = self._running[item.conn]
                yield from self._replied(item, running)
            case core_items.UpstreamFailed() if item.conn in self._running:
                running = self._running.pop(item.conn)
                yield self._again(item.at, running, item.error)
            case views.GroupView():
                self._groups[item.database] = item
                yield item
            case _:
                yield item

    def _open(self, item: items.Started) -> core_items.RunUpstream:
        view = self._groups[item.work.req.database]
        running = Running(item, view.term)
        self._running[item.conn] = running
        req = item.work.req
        statements = (_claim(req),)
        if req.kind is request.Kind.WRITE:
            statements = (*statements, *req.statements)
        return self._call(item.at, running, upstream.Mode.BEGIN, statements)

    def _call(
        self,
        now: float,
        running: Running,
        mode: upstream.Mode,
        statements: tuple[request.Statement, ...],
    ) -> core_items.RunUpstream:
        left_s = max(running.work.deadline - now, 0.0)
        return core_items.RunUpstream(
            now,
            running.started.conn,
            upstream.Execute(mode, running.term, statements),
            min(left_s, MAX_CALL_S),
            running.work.req.request_id,
        )

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
                yield self._commit(now, running, reply)
            case Phase.COMMIT:
                yield from self._end(running, now)
                answer = self._answer(running, running.results)
                yield items.Committed(
                    now, running.work, answer, reply.history.last
                )
            case Phase.LOOK_UP:
                yield from self._end(running, now)
                yield self._looked_up(now, running, reply)

    def _commit(
        self, now: float, running: Running, reply: upstream.Executed
    ) -> filters.Item:
        running.phase = Phase.COMMIT
        running.results = reply.results[1:]
        req = running.work.req
        if req.kind is not request.Kind.WRITE:
            return self._call(now, running, upstream.Mode.COMMIT, ())
        answer = self._codec.encode(running.results)
        statement = ledger.record(req.request_id, answer)
        return self._call(now, running, upstream.Mode.COMMIT, (statement,))

    def _rejected(
        self, now: float, running: Running, reply: upstream.Rejected
    ) -> Iterator[filters.Item]:
        claimed = (
            running.phase is Phase.OPEN
            and reply.reason is upstream.Reason.CONSTRAINT
            and reply.statement == 0
        )
        if claimed:
            running.phase = Phase.LOOK_UP
            look_up = ledger.look_up(_subject(running.work.req))
            yield self._call(now, running, upstream.Mode.READ, (look_up,))
            return
        yield from self._end(running, now)
        if reply.reason in (
            upstream.Reason.CONSTRAINT,
            upstream.Reason.STATEMENT,
        ):
            error = errors.StatementError(reply.detail)
            yield outcome.refuse(now, running.work, error)
            return
        error = errors.NoPrimaryError(reply.reason.value)
        yield self._again(now, running, error, doubt=False)

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
        if work.req.kind is request.Kind.WRITE and (
            row.fingerprint != ledger.fingerprint(work.req)
        ):
            return outcome.refuse(now, work, errors.RequestIdReusedError())
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
        settled = req.kind is not request.Kind.WRITE and not repeated
        error = _cancelled(req) if settled else None
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


def _claim(req: request.Request) -> request.Statement:
    if req.kind is request.Kind.WRITE:
        return ledger.insert(
            req.request_id, ledger.fingerprint(req), ledger.RowState.RUN
        )
    return ledger.insert(_subject(req), b"", ledger.RowState.TOMBSTONE)


def _cancelled(req: request.Request) -> errors.FescueshuntError:
    if req.kind is request.Kind.COMMIT:
        return errors.TransactionLostError()
    return errors.RequestCancelledError()


def _subject(req: request.Request) -> bytes:
    if req.kind is request.Kind.OUTCOME:
        return req.transaction
    return req.request_id
