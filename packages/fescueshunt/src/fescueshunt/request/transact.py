"""Filter that runs transactions.

Each transaction pins one connection from its BEGIN to its end.
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

IDLE_TIMEOUT_S = 5.0
MAX_TRANSACTION_S = 30.0


class Phase(enum.Enum):
    """The purpose of the call in flight; IDLE if there is none."""

    IDLE = "idle"
    BEGIN = "begin"
    STEP = "step"
    LAST_STEP = "last_step"
    COMMIT = "commit"
    ROLLBACK = "rollback"


@dataclasses.dataclass(slots=True)
class PinnedTransaction:
    """An open transaction and the connection to which it is pinned.

    Attributes:
      conn: the id of the connection.
      upstream: the upstream to which the connection leads.
      term: the term of the primary when the transaction began.
      work: the newest request of the transaction.
      idle_since: when the last statement ended; seconds, local clock.
      begin_work: the BEGIN request.
      phase: the purpose of the call in flight.
      results: the results of the last statements, kept for the answer to the
        COMMIT.
      abandoned: whether to roll back once the call in flight has ended.
      request_ids: the ids of its requests, to detect repeats.
    """

    conn: int
    upstream: str
    term: position.Term
    work: items.Work
    idle_since: float
    begin_work: items.Work
    phase: Phase = Phase.BEGIN
    results: tuple[request.ResultSet, ...] = ()
    abandoned: bool = False
    request_ids: set[bytes] = dataclasses.field(default_factory=set)


class Transact(filters.Filter):
    """Runs the statements of transactions on their pinned connections."""

    def __init__(self, codec: ledger.ResultCodec) -> None:
        self._codec = codec
        self._pinned: dict[bytes, PinnedTransaction] = {}
        self._by_conn: dict[int, bytes] = {}
        self._groups: dict[str, views.GroupView] = {}
        self._abandoned_at: dict[bytes, float] = {}

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields calls, answers and retries of statements in transactions."""
        match item:
            case items.ArrivedAtHome(work=work):
                yield from self._handle_statement(item.at, work)
            case items.Started(work=work) if (
                work.req.kind is request.Kind.BEGIN
            ):
                yield from self._handle_begin(item)
            case core_items.UpstreamReplied() if item.conn in self._by_conn:
                yield from self._handle_reply(item)
            case core_items.UpstreamFailed() if item.conn in self._by_conn:
                yield from self._handle_failure(item)
            case items.TransactionAbandoned():
                yield from self._handle_abandoned(item)
            case core_items.PeerLost():
                yield from self._handle_peer_lost(item)
                yield item
            case filters.Tick():
                yield from self._expire_idle(item.at)
                yield item
            case views.GroupView():
                self._groups[item.database] = item
                yield item
            case _:
                yield item

    def _handle_begin(self, item: items.Started) -> Iterator[filters.Item]:
        work = item.work
        transaction_id = work.req.request_id
        error = self._find_error(item.at, work)
        if error is not None:
            yield items.ConnectionReleased(item.at, item.conn, reusable=True)
            yield outcome.refuse(item.at, work, error)
            return
        term = self._groups[work.req.database].term
        pinned = PinnedTransaction(
            item.conn, item.upstream, term, work, item.at, work
        )
        self._pinned[transaction_id] = pinned
        self._by_conn[item.conn] = transaction_id
        yield items.TransactionOpened(
            item.at, items.TransactionSide.HOME, transaction_id
        )
        yield self._build_call(
            item.at, pinned, upstream.Mode.BEGIN, work.req.statements
        )

    def _find_error(
        self, now: float, work: items.Work
    ) -> errors.FescueshuntError | None:
        if work.req.request_id in self._pinned:
            return errors.RequestIdReusedError()
        if work.req.request_id in self._abandoned_at:
            return errors.TransactionLostError()
        if now >= work.deadline:
            return errors.DeadlineError()
        return None

    def _handle_statement(
        self, now: float, work: items.Work
    ) -> Iterator[filters.Item]:
        pinned = self._pinned.get(work.req.transaction)
        if pinned is None or not _is_next_statement(pinned, work):
            yield self._handle_not_open(now, work)
            return
        pinned.work = work
        req = work.req
        pinned.request_ids.add(req.request_id)
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
        yield self._build_call(now, pinned, mode, req.statements)

    def _handle_not_open(self, now: float, work: items.Work) -> filters.Item:
        error = errors.TransactionLostError()
        if work.req.kind is request.Kind.COMMIT:
            return self._retry(now, work, error)
        return outcome.refuse(now, work, error)

    def _build_call(
        self,
        now: float,
        pinned: PinnedTransaction,
        mode: upstream.Mode,
        statements: tuple[request.Statement, ...],
    ) -> core_items.RunUpstream:
        return calls.build_execute(
            now, pinned.conn, pinned.work, mode, pinned.term, statements
        )

    def _handle_reply(
        self, item: core_items.UpstreamReplied
    ) -> Iterator[filters.Item]:
        pinned = self._pinned[self._by_conn[item.conn]]
        match item.reply:
            case upstream.Executed():
                yield from self._handle_executed(item.at, pinned, item.reply)
            case upstream.Rejected():
                yield from self._end_transaction(item.at, pinned)
                yield self._handle_rejected(item.at, pinned, item.reply)
            case _:
                yield from self._end_transaction(
                    item.at, pinned, reusable=False
                )
                error = errors.TransactionLostError()
                yield outcome.refuse(item.at, pinned.work, error)

    def _handle_executed(
        self, now: float, pinned: PinnedTransaction, reply: upstream.Executed
    ) -> Iterator[filters.Item]:
        too_large = limits.check_results(reply.results)
        if too_large is not None and pinned.phase is not Phase.COMMIT:
            yield from self._end_transaction(now, pinned, reusable=False)
            yield outcome.refuse(now, pinned.work, too_large)
            return
        match pinned.phase:
            case Phase.BEGIN | Phase.STEP:
                pinned.phase = Phase.IDLE
                pinned.idle_since = now
                yield self._answer(now, pinned, reply.results)
                if pinned.abandoned:
                    yield from self._end_transaction(
                        now, pinned, reusable=False
                    )
            case Phase.LAST_STEP if now >= pinned.work.deadline:
                yield from self._end_transaction(now, pinned, reusable=False)
                error = errors.DeadlineError()
                yield outcome.refuse(now, pinned.work, error)
            case Phase.LAST_STEP:
                pinned.phase = Phase.COMMIT
                pinned.results = reply.results
                yield self._build_commit(now, pinned)
            case Phase.COMMIT:
                yield from self._end_transaction(now, pinned)
                answer = request.Answer(
                    pinned.work.req.request_id,
                    pinned.results,
                    upstream=pinned.upstream,
                )
                yield items.Committed(
                    now, pinned.work, answer, reply.history.last
                )
            case _:
                yield from self._end_transaction(now, pinned)
                yield self._answer(now, pinned, ())

    def _build_commit(
        self, now: float, pinned: PinnedTransaction
    ) -> core_items.RunUpstream:
        req = pinned.work.req
        claim = ledger.insert_statement(
            req.request_id,
            ledger.fingerprint(req),
            ledger.RowState.RUN,
            self._codec.encode(pinned.results),
        )
        return self._build_call(now, pinned, upstream.Mode.COMMIT, (claim,))

    def _answer(
        self,
        now: float,
        pinned: PinnedTransaction,
        results: tuple[request.ResultSet, ...],
    ) -> items.Answered:
        answer = request.Answer(
            pinned.work.req.request_id, results, upstream=pinned.upstream
        )
        return outcome.finish(now, pinned.work, answer)

    def _handle_rejected(
        self, now: float, pinned: PinnedTransaction, reply: upstream.Rejected
    ) -> filters.Item:
        work = pinned.work
        is_duplicate_id = (
            pinned.phase is Phase.COMMIT
            and reply.reason is upstream.Reason.CONSTRAINT
            and reply.statement == 0
        )
        if is_duplicate_id:
            # The ledger already has a row for the id: either the request ran,
            # or a tombstone cancelled it. The retry reads the row.
            return self._retry(now, work, errors.TransactionLostError())
        if reply.reason in (
            upstream.Reason.CONSTRAINT,
            upstream.Reason.STATEMENT,
        ):
            error = errors.StatementError(reply.detail)
            return outcome.refuse(now, work, error)
        if work.req.kind is request.Kind.BEGIN:
            error = errors.NoPrimaryError(reply.reason.value)
            return self._retry(now, work, error)
        return outcome.refuse(now, work, errors.TransactionLostError())

    def _retry(
        self, now: float, work: items.Work, error: errors.FescueshuntError
    ) -> items.RetryNeeded:
        view = self._groups.get(work.req.database)
        brief = route.group_brief(view) if view is not None else None
        retried = dataclasses.replace(work, error=error, suggested="")
        return items.RetryNeeded(now, retried, brief)

    def _handle_failure(
        self, item: core_items.UpstreamFailed
    ) -> Iterator[filters.Item]:
        pinned = self._pinned[self._by_conn[item.conn]]
        yield self._remove_pinned(item.at, pinned)
        work = pinned.work
        match pinned.phase:
            case Phase.IDLE:
                pass
            case Phase.BEGIN:
                yield self._retry(item.at, work, item.error)
            case Phase.COMMIT:
                in_doubt_work = dataclasses.replace(work, in_doubt=True)
                yield self._retry(item.at, in_doubt_work, item.error)
            case _:
                yield outcome.refuse(
                    item.at, work, _connection_loss_error(item.error)
                )

    def _handle_abandoned(
        self, item: items.TransactionAbandoned
    ) -> Iterator[filters.Item]:
        pinned = self._pinned.get(item.transaction)
        if pinned is None:
            # Its BEGIN may still be queued on this proxy or in transit.
            self._abandoned_at[item.transaction] = item.at
        elif _entry_of_pinned(pinned) == item.entry:
            yield from self._abandon_pinned(item.at, pinned)

    def _handle_peer_lost(
        self, item: core_items.PeerLost
    ) -> Iterator[filters.Item]:
        for pinned in list(self._pinned.values()):
            if _entry_of_pinned(pinned) == item.name:
                yield from self._abandon_pinned(item.at, pinned)

    def _abandon_pinned(
        self, now: float, pinned: PinnedTransaction
    ) -> Iterator[filters.Item]:
        pinned.abandoned = True
        if pinned.phase is Phase.IDLE:
            yield from self._end_transaction(now, pinned, reusable=False)

    def _expire_idle(self, now: float) -> Iterator[filters.Item]:
        for pinned in list(self._pinned.values()):
            idle_s = now - pinned.idle_since
            open_s = now - pinned.begin_work.at
            has_expired = idle_s > IDLE_TIMEOUT_S or open_s > MAX_TRANSACTION_S
            if pinned.phase is Phase.IDLE and has_expired:
                yield from self._end_transaction(now, pinned, reusable=False)
        self._abandoned_at = {
            transaction: abandoned_at
            for transaction, abandoned_at in self._abandoned_at.items()
            if now - abandoned_at < ledger.MAX_TIMEOUT_S
        }

    def _end_transaction(
        self, now: float, pinned: PinnedTransaction, reusable: bool = True
    ) -> Iterator[filters.Item]:
        yield self._remove_pinned(now, pinned)
        yield items.ConnectionReleased(now, pinned.conn, reusable)

    def _remove_pinned(
        self, now: float, pinned: PinnedTransaction
    ) -> filters.Item:
        transaction = self._by_conn.pop(pinned.conn)
        del self._pinned[transaction]
        return items.TransactionEnded(
            now, items.TransactionSide.HOME, transaction
        )


def _is_next_statement(pinned: PinnedTransaction, work: items.Work) -> bool:
    """Returns whether `work` may run as the next statement of a transaction.

    It must come through the same entry proxy, must not be a repeat, must be for
    the same database, and must arrive after the previous statement has ended.
    """
    return (
        pinned.phase is Phase.IDLE
        and _entry_proxy(work) == _entry_of_pinned(pinned)
        and work.req.request_id not in pinned.request_ids
        and work.req.database == pinned.begin_work.req.database
    )


def _entry_of_pinned(pinned: PinnedTransaction) -> str:
    return _entry_proxy(pinned.begin_work)


def _entry_proxy(work: items.Work) -> str:
    """Returns the entry proxy of `work`, "" for this proxy."""
    match work.origin:
        case items.PeerOrigin(name=name):
            return name
        case _:
            return ""


def _connection_loss_error(
    error: errors.FescueshuntError,
) -> errors.FescueshuntError:
    if isinstance(error, errors.FrameTooLargeError):
        return errors.ResultTooLargeError(error.detail)
    return errors.TransactionLostError()
