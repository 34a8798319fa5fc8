"""Filter that routes requests from entry proxies to home proxies.

Only the entry proxy retries. A home proxy that can't run a request returns it
with its state of the group. The ledger prevents a write that may have run from
running twice.
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
from fescueshunt.core import items as core_items
from fescueshunt.request import choose, hints, items, outcome, pins

if TYPE_CHECKING:
    from collections.abc import Iterator

RETRY_DELAY_S = 0.05
FORWARD_DEADLINE_MARGIN_S = 0.02
MAX_IMMEDIATE_RETRIES = 3
KINDS_LOST_WITH_HOME = pins.OPEN_TRANSACTION_KINDS | {request.Kind.BEGIN}


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Work that was forwarded to the proxy `home` and is not answered yet."""

    work: items.Work
    home: str


@dataclasses.dataclass(slots=True)
class RouteState:
    """State of routing.

    Attributes:
      settings: the settings in force.
      fleet: the newest view of the proxies.
      briefs: the newest known state of each group, by database.
      forwards: forwarded work without an answer, by the key of the work.
      delayed: the work to retry later, each with the time of its retry.
      pins: the open transactions of callers.
      hints: the upstreams to avoid for overload.
    """

    settings: document.Document = document.Document()
    fleet: views.FleetView = views.FleetView(0.0, ())
    briefs: dict[str, peer.GroupBrief] = dataclasses.field(default_factory=dict)
    forwards: dict[int, Forward] = dataclasses.field(default_factory=dict)
    delayed: list[tuple[float, items.Work]] = dataclasses.field(
        default_factory=list
    )
    pins: pins.TransactionPins = dataclasses.field(
        default_factory=pins.TransactionPins
    )
    hints: hints.OverloadHints = dataclasses.field(
        default_factory=hints.OverloadHints
    )


class Route(filters.Filter):
    """Chooses an upstream for each request and sends it to its home proxy."""

    def __init__(
        self,
        local_proxy: identity.Identity,
        home_policy: homes.HomeAssignment,
        read_preference: choose.ReadPreference,
    ) -> None:
        self._local_proxy = local_proxy
        self._homes = home_policy
        self._read_preference = read_preference
        self._state = RouteState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields arrivals, forwards and refusals; consumes replies of peers."""
        match item:
            case items.Work():
                yield from self._route(item, item.at)
            case items.RetryNeeded():
                yield from self._retry(item)
            case core_items.PeerReceived(message=peer.ForwardedAnswer()):
                yield from self._handle_answer(item, item.message)
            case core_items.PeerReceived(message=peer.Redirected()):
                yield from self._handle_redirect(item, item.message)
            case core_items.PeerReceived(message=peer.AbandonedTransaction()):
                transaction = item.message.transaction
                yield items.TransactionAbandoned(
                    item.at, item.sender, transaction
                )
            case core_items.PeerLost():
                yield from self._handle_home_lost(item.name, item.at)
                yield item
            case core_items.CallerClosed():
                yield from self._abandon_all(item)
                yield item
            case items.RequestEnded():
                yield from self._handle_ended(item)
            case filters.Tick():
                self._state.hints.remove_expired(item.at)
                yield from self._handle_tick(item.at)
                yield item
            case _:
                self._update_view(item)
                yield item

    def _update_view(self, item: filters.Item) -> None:
        match item:
            case views.SettingsView():
                self._state.settings = item.document
            case views.FleetView():
                self._state.fleet = item
            case views.GroupView():
                self._state.briefs[item.database] = group_brief(item)

    def _route(self, work: items.Work, now: float) -> Iterator[filters.Item]:
        if isinstance(work.origin, items.PeerOrigin):
            yield items.ArrivedAtHome(now, work, work.upstream)
            return
        if self._state.pins.is_pinned(work):
            yield from self._route_pinned(work, now)
            return
        database = self._state.settings.database(work.req.database)
        if database is None:
            error = errors.RequestInvalidError("unknown database")
            yield outcome.refuse(now, work, error)
            return
        upstream_name = self._choose_upstream(work, database, now)
        if upstream_name in self._state.hints.overloaded_upstreams(work, now):
            yield outcome.refuse(now, work, _overloaded_error(work))
            return
        upstream = database.find(upstream_name)
        if upstream is None:
            yield from self._delay_retry(work, now)
            return
        home = self._homes.find_home(
            database.name,
            upstream,
            self._state.fleet,
            self._local_proxy.name,
        )
        yield from self._send_to_home(work, upstream_name, home, now)

    def _choose_upstream(
        self, work: items.Work, database: document.Database, now: float
    ) -> str:
        brief = self._state.briefs.get(work.req.database)
        overloaded_upstreams = self._state.hints.overloaded_upstreams(work, now)
        return choose.choose_upstream(
            work,
            database,
            brief,
            self._local_proxy.zone,
            self._read_preference,
            overloaded_upstreams,
        )

    def _route_pinned(
        self, work: items.Work, now: float
    ) -> Iterator[filters.Item]:
        pin = self._state.pins.find(work)
        if pin is None:
            yield outcome.refuse(now, work, errors.TransactionLostError())
            return
        if work.req.kind is not request.Kind.STEP:
            yield self._state.pins.remove(work.req.transaction, now)
        yield from self._send_to_home(work, "", pin.home, now)

    def _handle_ended(self, item: items.RequestEnded) -> Iterator[filters.Item]:
        """Abandons a transaction after the first failure of a statement."""
        pin = self._state.pins.get(item.transaction)
        if pin is None or not item.failed:
            return
        is_from_caller = isinstance(item.origin, items.CallerOrigin)
        if is_from_caller and item.origin.conn == pin.conn:
            yield from self._abandon(item.at, item.transaction)

    def _abandon(
        self, now: float, transaction: bytes
    ) -> Iterator[filters.Item]:
        """Makes the home proxy roll back a transaction."""
        home = self._state.pins.get(transaction).home
        yield self._state.pins.remove(transaction, now)
        if home == self._local_proxy.name:
            yield items.TransactionAbandoned(now, "", transaction)
            return
        message = peer.AbandonedTransaction(transaction)
        yield core_items.SendPeer(now, home, message)

    def _abandon_all(
        self, item: core_items.CallerClosed
    ) -> Iterator[filters.Item]:
        for transaction in self._state.pins.of_caller(item.conn):
            yield from self._abandon(item.at, transaction)

    def _send_to_home(
        self, work: items.Work, upstream: str, home: str, now: float
    ) -> Iterator[filters.Item]:
        if not home:
            yield from self._delay_retry(work, now)
            return
        if work.req.kind is request.Kind.BEGIN:
            if work.req.request_id in self._state.pins:
                error = errors.RequestIdReusedError()
                yield outcome.refuse(now, work, error)
                return
            yield self._state.pins.add(work, home, now)
        if home == self._local_proxy.name:
            yield items.ArrivedAtHome(now, work, upstream)
            return
        self._state.forwards[work.key] = Forward(work, home)
        remaining_s = max(work.deadline - now - FORWARD_DEADLINE_MARGIN_S, 0.0)
        yield core_items.SendPeer(
            now,
            home,
            peer.ForwardedRequest(
                work.key, upstream, work.req, remaining_s, work.in_doubt
            ),
        )

    def _handle_answer(
        self, item: core_items.PeerReceived, message: peer.ForwardedAnswer
    ) -> Iterator[filters.Item]:
        request_id = message.answer.request_id
        forward = self._pop_forward(item.sender, message.seq, request_id)
        if forward is None:
            return
        if message.brief is not None:
            self._state.briefs[message.brief.database] = message.brief
        self._state.hints.record(forward.work, message.answer, item.at)
        yield outcome.finish_unchanged(item.at, forward.work, message.answer)

    def _pop_forward(
        self, sender: str, seq: int, request_id: bytes
    ) -> Forward | None:
        """Removes and returns the forward that a message answers.

        Returns None if no forward matches in sender, `seq` and request id. A
        reply to a request from before a restart of this process may carry a
        `seq` that is in use again.
        """
        forward = self._state.forwards.get(seq)
        if forward is None or forward.home != sender:
            return None
        if forward.work.req.request_id != request_id:
            return None
        return self._state.forwards.pop(seq)

    def _handle_redirect(
        self, item: core_items.PeerReceived, message: peer.Redirected
    ) -> Iterator[filters.Item]:
        request_id = message.request_id
        forward = self._pop_forward(item.sender, message.seq, request_id)
        if forward is None:
            return
        work = dataclasses.replace(
            forward.work,
            suggested=message.suggested,
            in_doubt=forward.work.in_doubt or message.in_doubt,
            error=message.error or forward.work.error,
        )
        yield from self._retry(items.RetryNeeded(item.at, work, message.brief))

    def _retry(self, item: items.RetryNeeded) -> Iterator[filters.Item]:
        work = item.work
        if isinstance(work.origin, items.PeerOrigin):
            yield items.ReturnedToPeer(
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
        if work.req.kind in pins.OPEN_TRANSACTION_KINDS:
            yield outcome.refuse(item.at, work, errors.TransactionLostError())
            return
        if work.req.request_id in self._state.pins:
            yield self._state.pins.remove(work.req.request_id, item.at)
        retried = dataclasses.replace(work, attempts=work.attempts + 1)
        if retried.attempts <= MAX_IMMEDIATE_RETRIES and _has_known_target(
            retried, item
        ):
            yield from self._route(retried, item.at)
            return
        yield from self._delay_retry(retried, item.at)

    def _delay_retry(
        self, work: items.Work, now: float
    ) -> Iterator[filters.Item]:
        retry_at = now + RETRY_DELAY_S
        if retry_at >= work.deadline:
            yield outcome.refuse(now, work, work.error or errors.NoRouteError())
            return
        delayed_work = dataclasses.replace(
            work, excluded=frozenset(), suggested=""
        )
        self._state.delayed.append((retry_at, delayed_work))

    def _handle_home_lost(
        self, home: str, now: float
    ) -> Iterator[filters.Item]:
        lost_forwards = [
            pending
            for pending in self._state.forwards.values()
            if pending.home == home
        ]
        for forward in lost_forwards:
            del self._state.forwards[forward.work.key]
            yield from self._retry_lost_forward(forward.work, home, now)
        for transaction in self._state.pins.at_home(home):
            yield from self._abandon(now, transaction)

    def _retry_lost_forward(
        self, work: items.Work, home: str, now: float
    ) -> Iterator[filters.Item]:
        """Retries work whose home proxy was lost.

        Statements of a transaction can't be retried, so they are refused.
        """
        if work.req.kind in KINDS_LOST_WITH_HOME:
            yield outcome.refuse(now, work, errors.TransactionLostError(home))
            return
        retried = dataclasses.replace(
            work,
            attempts=work.attempts + 1,
            in_doubt=work.in_doubt or outcome.may_have_run(work),
            error=errors.ConnectionLostError(home),
        )
        yield from self._delay_retry(retried, now)

    def _handle_tick(self, now: float) -> Iterator[filters.Item]:
        due_work = [
            work for retry_at, work in self._state.delayed if retry_at <= now
        ]
        self._state.delayed = [
            entry for entry in self._state.delayed if entry[0] > now
        ]
        for work in due_work:
            yield from self._route(work, now)
        expired = [
            pending
            for pending in self._state.forwards.values()
            if pending.work.deadline <= now
        ]
        for forward in expired:
            del self._state.forwards[forward.work.key]
            yield outcome.expire(now, forward.work)


def group_brief(view: views.GroupView) -> peer.GroupBrief:
    """Returns the summary of a group view that is sent to other proxies."""
    return peer.GroupBrief(
        view.database,
        view.term,
        view.primary,
        tuple(_upstream_brief(view, state) for state in view.states),
    )


def _upstream_brief(
    view: views.GroupView, state: views.UpstreamState
) -> peer.UpstreamBrief:
    has_status = state.status is not None
    return peer.UpstreamBrief(
        state.name,
        state.status.history.last if has_status else position.ORIGIN,
        has_status and state.failed_at is None,
        state.name in view.leaving,
    )


def _overloaded_error(work: items.Work) -> errors.OverloadedError:
    return errors.OverloadedError(retry_after_s=work.rank.target_s)


def _has_known_target(work: items.Work, item: items.RetryNeeded) -> bool:
    if work.suggested:
        return True
    return item.brief is not None and bool(item.brief.primary)
