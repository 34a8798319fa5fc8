"""Transactions: each pins one connection from its BEGIN to its end."""

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

IDLE_LIMIT_S = 5.0
MAX_CALL_S = 2.0


class Phase(enum.Enum):
    """What the call in flight does; IDLE for none."""

    IDLE = "idle"
    BEGIN = "begin"
    STEP = "step"
    LAST_STEP = "last_step"
    COMMIT = "commit"
    ROLLBACK = "rollback"


@dataclasses.dataclass(slots=True)
class Pinned:
    """An open transaction and its connection."""

    conn: int
    upstream: str
    term: position.Term
    work: items.Work
    used_at: float
    phase: Phase = Phase.BEGIN
    results: tuple[request.ResultSet, ...] = ()


class Transact(filters.Filter):
    """Runs transactions statement by statement."""

    def __init__(self, codec: ledger.ResultCodec) -> None:
        self._codec = codec
        self._pinned: dict[bytes, Pinned] = {}
        self._by_conn: dict[int, bytes] = {}
        self._groups: dict[str, views.GroupView] = {}

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields calls and answers for the statements of transactions."""
        match item:
            case items.Arrived(work=work):
                yield from self._continue(item.at, work)
            case items.Started(work=work) if (
                work.req.kind is request.Kind.BEGIN
            ):
                yield self._begin(item)
            case core_items.UpstreamReplied() if item.conn in self._by_conn:
                yield from self._replied(item)
            case core_items.UpstreamFailed() if item.conn in self._by_conn:
                yield from self._failed(item)
            case core_items.CallerClosed():
                yield from self._abandon(item)
                yield item
            case filters.Tick():
                yield from self._expire(item.at)
                yield item
            case views.GroupView():
                self._groups[item.database] = item
                yield item
            case _:
                yield item

    def _begin(self, item: items.Started) -> core_items.RunUpstream:
        work = item.work
        term = self._groups[work.req.database].term
        pinned = Pinned(item.conn, item.upstream, term, work, item.at)
        self._pinned[work.req.request_id] = pinned
        self._by_conn[item.conn] = work.req.request_id
        return self._call(
            item.at, pinned, upstream.Mode.BEGIN, work.req.statements
        )

    def _continue(self, now: float, work: items.Work) -> Iterator[filters.Item]:
        pinned = self._pinned.get(work.req.transaction)
        if pinned is None or pinned.phase is not Phase.IDLE:
            yield self._not_open(now, work)
            return
        pinned.work = work
        req = work.req
        match req.kind:
            case request.Kind.STEP:
                pinned.phase = Phase.STEP
                mode = upstream.Mode.STEP
            case request.Kind.COMMIT:
                pinned.phase = Phase.LAST_STEP
                mode = upstream.Mode.STEP
            case _:
                pinned.phase = Phase.ROLLBACK
                mode = upstream.Mode.ROLLBACK
        yield self._call(now, pinned, mode, req.statements)

    def _not_open(self, now: float, work: items.Work) -> filters.Item:
        error = errors.TransactionLostError()
        if work.req.kind is request.Kind.COMMIT:
            return self._again(now, work, error)
        return outcome.refuse(now, work, error)

    def _call(
        self,
        now: float,
        pinned: Pinned,
        mode: upstream.Mode,
        statements: tuple[request.Statement, ...],
    ) -> core_items.RunUpstream:
        left_s = max(pinned.work.deadline - now, 0.0)
        return core_items.RunUpstream(
            now,
            pinned.conn,
            upstream.Execute(mode, pinned.term, statements),
            min(left_s, MAX_CALL_S),
            pinned.work.req.request_id,
        )

    def _replied(
        self, item: core_items.UpstreamReplied
    ) -> Iterator[filters.Item]:
        pinned = self._pinned[self._by_conn[item.conn]]
        match item.reply:
            case upstream.Executed():
                yield from self._executed(item.at, pinned, item.reply)
            case upstream.Rejected():
                yield from self._end(item.at, pinned)
                yield self._rejection(item.at, pinned, item.reply)
            case _:
                yield from self._end(item.at, pinned, reusable=False)
                error = errors.TransactionLostError()
                yield outcome.refuse(item.at, pinned.work, error)

    def _executed(
        self, now: float, pinned: Pinned, reply: upstream.Executed
    ) -> Iterator[filters.Item]:
        match pinned.phase:
            case Phase.BEGIN | Phase.STEP:
                pinned.phase = Phase.IDLE
                pinned.used_at = now
                yield self._answer(now, pinned, reply.results)
            case Phase.LAST_STEP:
                pinned.phase = Phase.COMMIT
                pinned.results = reply.results
                yield self._commit(now, pinned)
            case Phase.COMMIT:
                yield from self._end(now, pinned)
                answer = request.Answer(
                    pinned.work.req.request_id,
                    pinned.results,
                    upstream=pinned.upstream,
                )
                yield items.Committed(
                    now, pinned.work, answer, reply.history.last
                )
            case _:
                yield from self._end(now, pinned)
                yield self._answer(now, pinned, ())

    def _commit(self, now: float, pinned: Pinned) -> core_items.RunUpstream:
        req = pinned.work.req
        claim = ledger.insert(
            req.request_id,
            ledger.fingerprint(req),
            ledger.RowState.RUN,
            self._codec.encode(pinned.results),
        )
        return self._call(now, pinned, upstream.Mode.COMMIT, (claim,))

    def _answer(
        self,
        now: float,
        pinned: Pinned,
        results: tuple[request.ResultSet, ...],
    ) -> items.Finished:
        answer = request.Answer(
            pinned.work.req.request_id, results, upstream=pinned.upstream
        )
        return outcome.finish(now, pinned.work, answer)

    def _rejection(
        self, now: float, pinned: Pinned, reply: upstream.Rejected
    ) -> filters.Item:
        work = pinned.work
        if reply.reason in (
            upstream.Reason.CONSTRAINT,
            upstream.Reason.STATEMENT,
        ):
            error = errors.StatementError(reply.detail)
            return outcome.refuse(now, work, error)
        if work.req.kind is request.Kind.BEGIN:
            error = errors.NoPrimaryError(reply.reason.value)
            return self._again(now, work, error)
        return outcome.refuse(now, work, errors.TransactionLostError())

    def _again(
        self, now: float, work: items.Work, error: errors.FescueshuntError
    ) -> items.Retried:
        view = self._groups.get(work.req.database)
        brief = route.brief_of(view) if view is not None else None
        again = dataclasses.replace(work, error=error, suggested="")
        return items.Retried(now, again, brief)

    def _failed(
        self, item: core_items.UpstreamFailed
    ) -> Iterator[filters.Item]:
        pinned = self._pinned[self._by_conn[item.conn]]
        self._forget(pinned)
        work = pinned.work
        match pinned.phase:
            case Phase.IDLE:
                return
            case Phase.BEGIN:
                yield self._again(item.at, work, item.error)
            case Phase.COMMIT:
                doubtful = dataclasses.replace(work, in_doubt=True)
                yield self._again(item.at, doubtful, item.error)
            case _:
                error = errors.TransactionLostError()
                yield outcome.refuse(item.at, work, error)

    def _abandon(self, item: core_items.CallerClosed) -> Iterator[filters.Item]:
        for pinned in list(self._pinned.values()):
            origin = pinned.work.origin
            if isinstance(origin, items.CallerOrigin) and (
                origin.conn == item.conn and pinned.phase is Phase.IDLE
            ):
                yield from self._end(item.at, pinned, reusable=False)

    def _expire(self, now: float) -> Iterator[filters.Item]:
        for pinned in list(self._pinned.values()):
            idle_s = now - pinned.used_at
            if pinned.phase is Phase.IDLE and idle_s > IDLE_LIMIT_S:
                yield from self._end(now, pinned, reusable=False)

    def _end(
        self, now: float, pinned: Pinned, reusable: bool = True
    ) -> Iterator[filters.Item]:
        self._forget(pinned)
        yield items.Released(now, pinned.conn, reusable)

    def _forget(self, pinned: Pinned) -> None:
        transaction = self._by_conn.pop(pinned.conn)
        del self._pinned[transaction]
