"""Routing at the entry: the home to which a caller's work goes.

Only the entry retries. A home that can't run a request sends it back with
what it knows; the ledger keeps a write that may have run from running twice.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import (
    document,
    filters,
    homes,
    identity,
    peer,
    position,
    request,
    views,
)
from fescueshunt.core import (
    items as core_items,
)
from fescueshunt.request import choose, hints, items, outcome

if TYPE_CHECKING:
    from collections.abc import Iterator

RETRY_PAUSE_S = 0.05
ANSWER_MARGIN_S = 0.02
FIRST_RETRIES_AT_ONCE = 3
OPEN_ONLY = frozenset({request.Kind.STEP, request.Kind.ROLLBACK})
BOUND_KINDS = OPEN_ONLY | {request.Kind.BEGIN}


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Work that another proxy has."""

    work: items.Work
    home: str


@dataclasses.dataclass(frozen=True, slots=True)
class Pin:
    """An open transaction of a caller's connection, and the home it is at."""

    conn: int
    home: str


@dataclasses.dataclass(slots=True)
class RouteState:
    """What routing remembers."""

    settings: document.Document = document.Document()
    fleet: views.FleetView = views.FleetView(0.0, ())
    briefs: dict[str, peer.GroupBrief] = dataclasses.field(default_factory=dict)
    forwards: dict[int, Forward] = dataclasses.field(default_factory=dict)
    waiting: list[tuple[float, items.Work]] = dataclasses.field(
        default_factory=list
    )
    pinned: dict[bytes, Pin] = dataclasses.field(default_factory=dict)
    hints: hints.Hints = dataclasses.field(default_factory=hints.Hints)


class Route(filters.Filter):
    """Sends each caller's work to the home of the upstream chosen for it."""

    def __init__(
        self,
        me: identity.Identity,
        placed: homes.HomeAssignment,
        placement: choose.Placement,
    ) -> None:
        self._me = me
        self._homes = placed
        self._placement = placement
        self._state = RouteState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields arrivals, forwards and refusals; consumes peers' answers."""
        match item:
            case items.Work():
                yield from self._route(item, item.at)
            case items.Retried():
                yield from self._retry(item)
            case core_items.PeerReceived(message=peer.ForwardedAnswer()):
                yield from self._take_answer(item, item.message)
            case core_items.PeerReceived(message=peer.Redirected()):
                yield from self._take_redirect(item, item.message)
            case core_items.PeerReceived(message=peer.AbandonedTransaction()):
                transaction = item.message.transaction
                yield items.Abandoned(item.at, item.sender, transaction)
            case core_items.PeerLost():
                yield from self._reroute_from(item.name, item.at)
                yield item
            case core_items.CallerClosed():
                yield from self._abandon_all(item)
                yield item
            case items.Ended():
                yield from self._note_end(item)
            case filters.Tick():
                self._state.hints.forget(item.at)
                yield from self._wake(item.at)
                yield item
            case _:
                self._note_view(item)
                yield item

    def _note_view(self, item: filters.Item) -> None:
        match item:
            case views.SettingsView():
                self._state.settings = item.document
            case views.FleetView():
                self._state.fleet = item
            case views.GroupView():
                self._state.briefs[item.database] = brief_of(item)

    def _route(self, work: items.Work, now: float) -> Iterator[filters.Item]:
        if isinstance(work.origin, items.PeerOrigin):
            yield items.Arrived(now, work, work.upstream)
            return
        if self._is_inside(work):
            yield from self._route_pinned(work, now)
            return
        database = self._state.settings.database(work.req.database)
        name = self._choose(work, database, now)
        if name in self._state.hints.busy(work, now):
            yield outcome.refuse(now, work, _overloaded(work))
            return
        upstream = database.find(name)
        if upstream is None:
            yield from self._pause(work, now)
            return
        home = self._homes.find_home(
            database.name, upstream, self._state.fleet, self._me.name
        )
        yield from self._send(work, name, home, now)

    def _choose(
        self, work: items.Work, database: document.Database, now: float
    ) -> str:
        brief = self._state.briefs.get(work.req.database)
        busy = self._state.hints.busy(work, now)
        return choose.for_entry(
            work, database, brief, self._me.zone, self._placement, busy
        )

    def _is_inside(self, work: items.Work) -> bool:
        """Tells whether `work` goes to the home of an open transaction.

        A COMMIT of which nothing is known here is settled by the ledger.
        """
        if work.req.kind is request.Kind.COMMIT:
            return self._pin_of(work) is not None
        return work.req.kind in OPEN_ONLY

    def _pin_of(self, work: items.Work) -> Pin | None:
        """Returns the open transaction that `work` belongs to.

        Only the connection that opened a transaction may go on with it.
        """
        pin = self._state.pinned.get(work.req.transaction)
        if pin is None or pin.conn != work.origin.conn:
            return None
        return pin

    def _route_pinned(
        self, work: items.Work, now: float
    ) -> Iterator[filters.Item]:
        pin = self._pin_of(work)
        if pin is None:
            yield outcome.refuse(now, work, errors.TransactionLostError())
            return
        if work.req.kind is not request.Kind.STEP:
            yield self._unpin(now, work.req.transaction)
        yield from self._send(work, "", pin.home, now)

    def _pin(self, work: items.Work, home: str, now: float) -> filters.Item:
        begin_id = work.req.request_id
        self._state.pinned[begin_id] = Pin(work.origin.conn, home)
        return items.TransactionOpened(now, items.Side.ENTRY, begin_id)

    def _unpin(self, now: float, transaction: bytes) -> filters.Item:
        self._state.pinned.pop(transaction, None)
        return items.TransactionEnded(now, items.Side.ENTRY, transaction)

    def _note_end(self, item: items.Ended) -> Iterator[filters.Item]:
        """Ends a transaction with its first error."""
        pin = self._state.pinned.get(item.transaction)
        if pin is None or not item.failed:
            return
        is_callers = isinstance(item.origin, items.CallerOrigin)
        if is_callers and item.origin.conn == pin.conn:
            yield from self._abandon(item.at, item.transaction)

    def _abandon(
        self, now: float, transaction: bytes
    ) -> Iterator[filters.Item]:
        """Lets the home roll back a transaction."""
        home = self._state.pinned[transaction].home
        yield self._unpin(now, transaction)
        if home == self._me.name:
            yield items.Abandoned(now, "", transaction)
            return
        message = peer.AbandonedTransaction(transaction)
        yield core_items.SendPeer(now, home, message)

    def _abandon_all(
        self, item: core_items.CallerClosed
    ) -> Iterator[filters.Item]:
        for transaction, pin in list(self._state.pinned.items()):
            if pin.conn == item.conn:
                yield from self._abandon(item.at, transaction)

    def _send(
        self, work: items.Work, upstream: str, home: str, now: float
    ) -> Iterator[filters.Item]:
        if not home:
            yield from self._pause(work, now)
            return
        if work.req.kind is request.Kind.BEGIN:
            if work.req.request_id in self._state.pinned:
                error = errors.RequestIdReusedError()
                yield outcome.refuse(now, work, error)
                return
            yield self._pin(work, home, now)
        if home == self._me.name:
            yield items.Arrived(now, work, upstream)
            return
        self._state.forwards[work.key] = Forward(work, home)
        remaining_s = max(work.deadline - now - ANSWER_MARGIN_S, 0.0)
        yield core_items.SendPeer(
            now,
            home,
            peer.ForwardedRequest(
                work.key, upstream, work.req, remaining_s, work.in_doubt
            ),
        )

    def _take_answer(
        self, item: core_items.PeerReceived, message: peer.ForwardedAnswer
    ) -> Iterator[filters.Item]:
        request_id = message.answer.request_id
        forward = self._take_forward(item.sender, message.seq, request_id)
        if forward is None:
            return
        if message.brief is not None:
            self._state.briefs[message.brief.database] = message.brief
        self._state.hints.note(forward.work, message.answer, item.at)
        yield outcome.pass_on(item.at, forward.work, message.answer)

    def _take_forward(
        self, sender: str, seq: int, request_id: bytes
    ) -> Forward | None:
        """Returns the forward that a message answers, None for a stray one.

        A message of an earlier start of this process may carry a `seq` that
        is in use again.
        """
        forward = self._state.forwards.get(seq)
        if forward is None or forward.home != sender:
            return None
        if forward.work.req.request_id != request_id:
            return None
        return self._state.forwards.pop(seq)

    def _take_redirect(
        self, item: core_items.PeerReceived, message: peer.Redirected
    ) -> Iterator[filters.Item]:
        request_id = message.request_id
        forward = self._take_forward(item.sender, message.seq, request_id)
        if forward is None:
            return
        work = dataclasses.replace(
            forward.work,
            suggested=message.suggested,
            in_doubt=forward.work.in_doubt or message.in_doubt,
            error=message.error or forward.work.error,
        )
        yield from self._retry(items.Retried(item.at, work, message.brief))

    def _retry(self, item: items.Retried) -> Iterator[filters.Item]:
        work = item.work
        if isinstance(work.origin, items.PeerOrigin):
            yield items.SentBack(
                item.at,
                work.origin,
                work.req.request_id,
                item.brief,
                work.suggested,
                work.in_doubt,
                work.error,
            )
            return
        if isinstance(work.origin, items.BackgroundOrigin):
            return
        if item.brief is not None:
            self._state.briefs[item.brief.database] = item.brief
        if work.req.kind in OPEN_ONLY:
            yield outcome.refuse(item.at, work, errors.TransactionLostError())
            return
        if work.req.request_id in self._state.pinned:
            yield self._unpin(item.at, work.req.request_id)
        again = dataclasses.replace(work, attempts=work.attempts + 1)
        if again.attempts <= FIRST_RETRIES_AT_ONCE and _has_way(again, item):
            yield from self._route(again, item.at)
            return
        yield from self._pause(again, item.at)

    def _pause(self, work: items.Work, now: float) -> Iterator[filters.Item]:
        wake_at = now + RETRY_PAUSE_S
        if wake_at >= work.deadline:
            yield outcome.refuse(now, work, work.error or errors.NoRouteError())
            return
        fresh = dataclasses.replace(work, avoid=frozenset(), suggested="")
        self._state.waiting.append((wake_at, fresh))

    def _reroute_from(self, home: str, now: float) -> Iterator[filters.Item]:
        lost = [f for f in self._state.forwards.values() if f.home == home]
        for forward in lost:
            del self._state.forwards[forward.work.key]
            yield from self._retry_lost(forward.work, home, now)
        for transaction, pin in list(self._state.pinned.items()):
            if pin.home == home:
                yield from self._abandon(now, transaction)

    def _retry_lost(
        self, work: items.Work, home: str, now: float
    ) -> Iterator[filters.Item]:
        """Routes lost work anew; statements of a transaction can't be."""
        if work.req.kind in BOUND_KINDS:
            yield outcome.refuse(now, work, errors.TransactionLostError(home))
            return
        again = dataclasses.replace(
            work,
            attempts=work.attempts + 1,
            in_doubt=work.in_doubt or outcome.may_have_run(work),
            error=errors.ConnectionLostError(home),
        )
        yield from self._pause(again, now)

    def _wake(self, now: float) -> Iterator[filters.Item]:
        due = [work for wake_at, work in self._state.waiting if wake_at <= now]
        self._state.waiting = [
            entry for entry in self._state.waiting if entry[0] > now
        ]
        for work in due:
            yield from self._route(work, now)
        late = [
            f for f in self._state.forwards.values() if f.work.deadline <= now
        ]
        for forward in late:
            del self._state.forwards[forward.work.key]
            yield outcome.expire(now, forward.work)


def brief_of(view: views.GroupView) -> peer.GroupBrief:
    """Returns what a home tells others of its group view."""
    return peer.GroupBrief(
        view.database,
        view.term,
        view.primary,
        tuple(_upstream_brief(view, state) for state in view.states),
    )


def _upstream_brief(
    view: views.GroupView, state: views.UpstreamState
) -> peer.UpstreamBrief:
    known = state.status is not None
    return peer.UpstreamBrief(
        state.name,
        state.status.history.last if known else position.ORIGIN,
        known and state.failed_at is None,
        state.name in view.leaving,
    )


def _overloaded(work: items.Work) -> errors.OverloadedError:
    return errors.OverloadedError(retry_after_s=work.rank.target_s)


def _has_way(work: items.Work, item: items.Retried) -> bool:
    if work.suggested:
        return True
    return item.brief is not None and bool(item.brief.primary)
