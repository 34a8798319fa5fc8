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
from fescueshunt.request import calls, items, ledger, limits, outcome, route

if TYPE_CHECKING:
    from collections.abc import Iterator

IDLE_LIMIT_S = 5.0
OPEN_LIMIT_S = 30.0


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
    """An open transaction and its connection.

    Attributes:
      work: the newest request of the transaction.
      used_at: when its last statement ended; seconds, local clock.
      begun: its BEGIN.
      abandoned: whether it ends with the call in flight.
      seen: the request ids of its statements.
    """

    conn: int
    upstream: str
    term: position.Term
    work: items.Work
    used_at: float
    begun: items.Work
    phase: Phase = Phase.BEGIN
    results: tuple[request.ResultSet, ...] = ()
    abandoned: bool = False
    seen: set[bytes] = dataclasses.field(default_factory=set)


class Transact(filters.Filter):
    """Runs transactions statement by statement."""

    def __init__(self, codec: ledger.ResultCodec) -> None:
        self._codec = codec
        self._pinned: dict[bytes, Pinned] = {}
        self._by_conn: dict[int, bytes] = {}
        self._groups: dict[str, views.GroupView] = {}
        self._abandoned: dict[bytes, float] = {}

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields calls and answers for the statements of transactions."""
        match item:
            case items.Arrived(work=work):
                yield from self._continue(item.at, work)
            case items.Started(work=work) if (
                work.req.kind is request.Kind.BEGIN
            ):
                yield from self._begin(item)
            case core_items.UpstreamReplied() if item.conn in self._by_conn:
                yield from self._replied(item)
            case core_items.UpstreamFailed() if item.conn in self._by_conn:
                yield from self._failed(item)
            case items.Abandoned():
                yield from self._abandon(item)
            case core_items.PeerLost():
                yield from self._abandon_all(item)
                yield item
            case filters.Tick():
                yield from self._expire(item.at)
                yield item
            case views.GroupView():
                self._groups[item.database] = item
                yield item
            case _:
                yield item

    def _begin(self, item: items.Started) -> Iterator[filters.Item]:
        work = item.work
        begin_id = work.req.request_id
        error = self._refusal(item.at, work)
        if error is not None:
            yield items.Released(item.at, item.conn, reusable=True)
            yield outcome.refuse(item.at, work, error)
            return
        term = self._groups[work.req.database].term
        pinned = Pinned(item.conn, item.upstream, term, work, item.at, work)
        self._pinned[begin_id] = pinned
        self._by_conn[item.conn] = begin_id
        yield items.TransactionOpened(item.at, items.Side.HOME, begin_id)
        yield self._call(
            item.at, pinned, upstream.Mode.BEGIN, work.req.statements
        )

    def _refusal(
        self, now: float, work: items.Work
    ) -> errors.FescueshuntError | None:
        if work.req.request_id in self._pinned:
            return errors.RequestIdReusedError()
        if work.req.request_id in self._abandoned:
            return errors.TransactionLostError()
        if now >= work.deadline:
            return errors.DeadlineError()
        return None

    def _continue(self, now: float, work: items.Work) -> Iterator[filters.Item]:
        pinned = self._pinned.get(work.req.transaction)
        if pinned is None or not _may_continue(pinned, work):
            yield self._not_open(now, work)
            return
        pinned.work = work
        req = work.req
        pinned.seen.add(req.request_id)
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
        return calls.execute(
            now, pinned.conn, pinned.work, mode, pinned.term, statements
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
        too_large = limits.check_results(reply.results)
        if too_large is not None and pinned.phase is not Phase.COMMIT:
            yield from self._end(now, pinned, reusable=False)
            yield outcome.refuse(now, pinned.work, too_large)
            return
        match pinned.phase:
            case Phase.BEGIN | Phase.STEP:
                pinned.phase = Phase.IDLE
                pinned.used_at = now
                yield self._answer(now, pinned, reply.results)
                if pinned.abandoned:
                    yield from self._end(now, pinned, reusable=False)
            case Phase.LAST_STEP if now >= pinned.work.deadline:
                yield from self._end(now, pinned, reusable=False)
                error = errors.DeadlineError()
                yield outcome.refuse(now, pinned.work, error)
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
        claimed = (
            pinned.phase is Phase.COMMIT
            and reply.reason is upstream.Reason.CONSTRAINT
            and reply.statement == 0
        )
        if claimed:
            # The id was used, or settled as not run; the ledger says which.
            return self._again(now, work, errors.TransactionLostError())
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
        yield self._forget(item.at, pinned)
        work = pinned.work
        match pinned.phase:
            case Phase.IDLE:
                pass
            case Phase.BEGIN:
                yield self._again(item.at, work, item.error)
            case Phase.COMMIT:
                doubtful = dataclasses.replace(work, in_doubt=True)
                yield self._again(item.at, doubtful, item.error)
            case _:
                yield outcome.refuse(item.at, work, _lost_by(item.error))

    def _abandon(self, item: items.Abandoned) -> Iterator[filters.Item]:
        pinned = self._pinned.get(item.transaction)
        if pinned is None:
            # Its BEGIN may still be queued here, or on its way.
            self._abandoned[item.transaction] = item.at
        elif _entry_of(pinned) == item.entry:
            yield from self._end_soon(item.at, pinned)

    def _abandon_all(self, item: core_items.PeerLost) -> Iterator[filters.Item]:
        for pinned in list(self._pinned.values()):
            if _entry_of(pinned) == item.name:
                yield from self._end_soon(item.at, pinned)

    def _end_soon(self, now: float, pinned: Pinned) -> Iterator[filters.Item]:
        pinned.abandoned = True
        if pinned.phase is Phase.IDLE:
            yield from self._end(now, pinned, reusable=False)

    def _expire(self, now: float) -> Iterator[filters.Item]:
        for pinned in list(self._pinned.values()):
            idle_s = now - pinned.used_at
            open_s = now - pinned.begun.at
            is_over = idle_s > IDLE_LIMIT_S or open_s > OPEN_LIMIT_S
            if pinned.phase is Phase.IDLE and is_over:
                yield from self._end(now, pinned, reusable=False)
        self._abandoned = {
            transaction: since
            for transaction, since in self._abandoned.items()
            if now - since < ledger.MAX_TIMEOUT_S
        }

    def _end(
        self, now: float, pinned: Pinned, reusable: bool = True
    ) -> Iterator[filters.Item]:
        yield self._forget(now, pinned)
        yield items.Released(now, pinned.conn, reusable)

    def _forget(self, now: float, pinned: Pinned) -> filters.Item:
        transaction = self._by_conn.pop(pinned.conn)
        del self._pinned[transaction]
        return items.TransactionEnded(now, items.Side.HOME, transaction)


def _may_continue(pinned: Pinned, work: items.Work) -> bool:
    """Tells whether `work` is the next statement of the transaction.

    It comes by the same entry, once, after the one before it, and for the
    same database.
    """
    return (
        pinned.phase is Phase.IDLE
        and _entry(work) == _entry_of(pinned)
        and work.req.request_id not in pinned.seen
        and work.req.database == pinned.begun.req.database
    )


def _entry_of(pinned: Pinned) -> str:
    return _entry(pinned.begun)


def _entry(work: items.Work) -> str:
    """Returns the proxy that `work` came by, "" for this one."""
    match work.origin:
        case items.PeerOrigin(name=name):
            return name
        case _:
            return ""


def _lost_by(error: errors.FescueshuntError) -> errors.FescueshuntError:
    if isinstance(error, errors.FrameTooLargeError):
        return errors.ResultTooLargeError(error.detail)
    return errors.TransactionLostError()
