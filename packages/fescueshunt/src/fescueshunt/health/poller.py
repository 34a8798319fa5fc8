"""Tracking: polls the upstreams of watched databases into group views."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import (
    document,
    filters,
    homes,
    identity,
    position,
    upstream,
    views,
)
from fescueshunt.core import (
    items as core_items,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

POLL_WAIT_S = 0.2
HOME_HOLD_S = 0.005
WATCHER_HOLD_S = 0.1
CALL_TIMEOUT_S = 0.6
FAILED_POLL_DELAY_S = 0.1
MAX_SAMPLES = 128
MIN_SAMPLE_INTERVAL_S = 0.01


@dataclasses.dataclass(slots=True)
class MonitoredDatabase:
    """What is known of one database, and which polls are in flight.

    Attributes:
      own: the upstreams that this proxy is home to.
      not_before: when a failing upstream is polled again.
    """

    database: document.Database
    view: views.GroupView
    own: frozenset[str] = frozenset()
    polling: set[str] = dataclasses.field(default_factory=set)
    not_before: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class PollerState:
    """What tracking remembers."""

    settings: document.Document = document.Document()
    fleet: views.FleetView = views.FleetView(0.0, ())
    tracked: dict[str, MonitoredDatabase] = dataclasses.field(
        default_factory=dict
    )


class StatusPoller(filters.Filter):
    """Polls every upstream of each database that this proxy watches.

    A poll waits at the upstream until something changes, so that an idle group
    costs a poll each wait. The home of the primary hears of new entries of the
    replicas at once, since acknowledgements wait for them; who only watches
    hears of them many at a time.
    """

    def __init__(
        self, me: identity.Identity, placed: homes.HomeAssignment | None = None
    ) -> None:
        self._me = me
        self._homes = placed or homes.SingleHome()
        self._state = PollerState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields polls and group views."""
        match item:
            case core_items.ControlReplied(call=upstream.ReadStatus()):
                yield from self._replied(item)
            case core_items.ControlFailed(call=upstream.ReadStatus()):
                yield from self._failed(item)
            case views.SettingsView():
                self._state.settings = item.document
                yield from self._review(item.at)
                yield item
            case views.FleetView():
                self._state.fleet = item
                yield from self._review(item.at)
                yield item
            case filters.Tick():
                yield from self._poll_all(item.at)
                yield item
            case _:
                yield item

    def _review(self, now: float) -> Iterator[filters.Item]:
        watched = homes.watched_databases(
            self._state.settings.databases,
            self._state.fleet,
            self._me.name,
            self._homes,
        )
        known = self._state.tracked
        self._state.tracked = {
            database.name: self._keep(known.get(database.name), database, now)
            for database in watched
        }
        yield from self._poll_all(now)

    def _keep(
        self,
        known: MonitoredDatabase | None,
        database: document.Database,
        now: float,
    ) -> MonitoredDatabase:
        tracked = known or MonitoredDatabase(
            database, views.GroupView(now, database.name)
        )
        fleet = self._state.fleet
        tracked.database = database
        tracked.own = frozenset(
            u.name
            for u in database.upstreams
            if homes.find_home(database.name, u, fleet) == self._me.name
        )
        tracked.view = _declared(tracked.view, database, now)
        return tracked

    def _poll_all(self, now: float) -> Iterator[filters.Item]:
        for tracked in self._state.tracked.values():
            for member in tracked.database.upstreams:
                due = now >= tracked.not_before.get(member.name, now)
                if due and member.name not in tracked.polling:
                    yield self._poll(tracked, member, now)

    def _poll(
        self, tracked: MonitoredDatabase, member: document.Upstream, now: float
    ) -> core_items.CallControl:
        tracked.polling.add(member.name)
        state = tracked.view.find(member.name)
        call = upstream.ReadStatus()
        if state is not None and state.status is not None:
            wait_s = POLL_WAIT_S if state.failed_at is None else 0.0
            call = upstream.ReadStatus(
                state.status.history,
                state.status.promised,
                wait_s,
                min(_hold_s(tracked, member.name), wait_s),
            )
        return core_items.CallControl(
            now,
            tracked.database.name,
            member.name,
            member.address,
            call,
            CALL_TIMEOUT_S,
        )

    def _replied(
        self, item: core_items.ControlReplied
    ) -> Iterator[filters.Item]:
        tracked = self._state.tracked.get(item.database)
        if tracked is None or not isinstance(item.reply, upstream.Status):
            return
        tracked.polling.discard(item.upstream)
        known = tracked.view.find(item.upstream)
        if known is None or item.sent_at < known.sent_at:
            return
        state = views.UpstreamState(item.upstream, item.reply, item.sent_at)
        tracked.view = _with_state(tracked, state, item.at)
        member = tracked.database.find(item.upstream)
        if member is not None:
            yield self._poll(tracked, member, item.at)
        yield tracked.view

    def _failed(self, item: core_items.ControlFailed) -> Iterator[filters.Item]:
        tracked = self._state.tracked.get(item.database)
        if tracked is None:
            return
        tracked.polling.discard(item.upstream)
        tracked.not_before[item.upstream] = item.at + FAILED_POLL_DELAY_S
        state = tracked.view.find(item.upstream)
        if state is None or state.failed_at is not None:
            return
        failed = dataclasses.replace(state, failed_at=item.at)
        tracked.view = _with_state(tracked, failed, item.at)
        yield tracked.view


def _declared(
    view: views.GroupView, database: document.Database, now: float
) -> views.GroupView:
    """Returns `view` with just the upstreams that `database` declares."""
    states = tuple(
        view.find(u.name) or views.UpstreamState(u.name)
        for u in database.upstreams
    )
    leaving = frozenset(u.name for u in database.upstreams if u.draining)
    return dataclasses.replace(view, at=now, states=states, leaving=leaving)


def _hold_s(tracked: MonitoredDatabase, name: str) -> float:
    """Returns how long new entries of the upstream `name` may go untold."""
    primary = tracked.view.primary
    if primary in tracked.own and name != primary:
        return 0.0
    return HOME_HOLD_S if name in tracked.own else WATCHER_HOLD_S


def _with_state(
    tracked: MonitoredDatabase, changed: views.UpstreamState, now: float
) -> views.GroupView:
    view = tracked.view
    states = tuple(
        changed if state.name == changed.name else state
        for state in view.states
    )
    term, primary = _serving(states, view, tracked.database)
    samples = view.samples if term == view.term else ()
    if changed.name == primary and _is_primary(changed, term):
        samples = _add_sample(samples, changed)
    return dataclasses.replace(
        view,
        at=now,
        states=states,
        term=term,
        primary=primary,
        samples=samples,
        confirmed_at=_confirmed_at(states, term, tracked.database.majority),
    )


def _serving(
    states: tuple[views.UpstreamState, ...],
    view: views.GroupView,
    database: document.Database,
) -> tuple[position.Term, str]:
    """Returns the highest term that serves, and its primary.

    A replica that follows a term shows that it serves, also where its primary
    can't be reached from here.
    """
    term, primary = view.term, view.primary
    for state in states:
        status = state.status
        if status is None or status.term < term:
            continue
        if status.role is upstream.Role.PRIMARY:
            term, primary = status.term, state.name
        elif status.role is upstream.Role.REPLICA and status.term > term:
            term, primary = status.term, _named_primary(status, database)
    return term, primary


def _named_primary(status: upstream.Status, database: document.Database) -> str:
    for member in database.upstreams:
        if status.primary in (member.name, member.address):
            return member.name
    return ""


def _is_primary(state: views.UpstreamState, term: position.Term) -> bool:
    status = state.status
    return (
        status is not None
        and state.failed_at is None
        and status.role is upstream.Role.PRIMARY
        and status.term == term
    )


def _add_sample(
    samples: tuple[tuple[float, int], ...], state: views.UpstreamState
) -> tuple[tuple[float, int], ...]:
    sample = (state.sent_at, state.status.history.end)
    if samples and state.sent_at - samples[-1][0] < MIN_SAMPLE_INTERVAL_S:
        return samples
    return (*samples[-MAX_SAMPLES + 1 :], sample)


def _confirmed_at(
    states: tuple[views.UpstreamState, ...],
    term: position.Term,
    majority: int,
) -> float:
    """Returns when a majority last promised no term above `term`."""
    times = sorted(
        (
            state.sent_at
            for state in states
            if state.status is not None and state.status.promised == term
        ),
        reverse=True,
    )
    return times[majority - 1] if len(times) >= majority else float("-inf")
