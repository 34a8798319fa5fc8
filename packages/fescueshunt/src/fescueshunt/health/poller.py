"""Filter that polls the upstreams and derives group views from the replies."""

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
    """The monitoring state of one database.

    Attributes:
      database: the database, as the settings declare it.
      view: the newest view of the database's group.
      home_upstreams: the names of the upstreams whose home is this proxy.
      polling: the names of the upstreams with a poll in flight.
      next_poll_at: the earliest time of the next poll, by the name of a
        failing upstream; seconds, local clock.
    """

    database: document.Database
    view: views.GroupView
    home_upstreams: frozenset[str] = frozenset()
    polling: set[str] = dataclasses.field(default_factory=set)
    next_poll_at: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class PollerState:
    """The state of the status poller; `monitored` is keyed by database."""

    settings: document.Document = document.Document()
    fleet: views.FleetView = views.FleetView(0.0, ())
    monitored: dict[str, MonitoredDatabase] = dataclasses.field(
        default_factory=dict
    )


class StatusPoller(filters.Filter):
    """Polls every upstream of each database that this proxy monitors.

    The polls are long polls: an upstream replies when its status changes or
    after POLL_WAIT_S, so an idle upstream costs one poll per POLL_WAIT_S.

    Reports of new log entries are batched. An upstream reports at most every
    HOME_HOLD_S to its home, and at most every WATCHER_HOLD_S to other proxies.
    Replicas report to the home of their primary without delay, because
    acknowledgements of writes wait for these reports.
    """

    def __init__(
        self,
        local_proxy: identity.Identity,
        assignment: homes.HomeAssignment | None = None,
    ) -> None:
        self._local_proxy = local_proxy
        self._assignment = assignment or homes.SingleHome()
        self._state = PollerState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields polls, and a group view after each reply or new failure."""
        match item:
            case core_items.ControlReplied(call=upstream.ReadStatus()):
                yield from self._handle_reply(item)
            case core_items.ControlFailed(call=upstream.ReadStatus()):
                yield from self._handle_failure(item)
            case views.SettingsView():
                self._state.settings = item.document
                yield from self._update_monitored(item.at)
                yield item
            case views.FleetView():
                self._state.fleet = item
                yield from self._update_monitored(item.at)
                yield item
            case filters.Tick():
                yield from self._start_polls(item.at)
                yield item
            case _:
                yield item

    def _update_monitored(self, now: float) -> Iterator[filters.Item]:
        watched = homes.watched_databases(
            self._state.settings.databases,
            self._state.fleet,
            self._local_proxy.name,
            self._assignment,
        )
        previous = self._state.monitored
        self._state.monitored = {
            database.name: self._update(
                previous.get(database.name), database, now
            )
            for database in watched
        }
        yield from self._start_polls(now)

    def _update(
        self,
        previous: MonitoredDatabase | None,
        database: document.Database,
        now: float,
    ) -> MonitoredDatabase:
        monitored = previous or MonitoredDatabase(
            database, views.GroupView(now, database.name)
        )
        fleet = self._state.fleet
        monitored.database = database
        monitored.home_upstreams = frozenset(
            u.name
            for u in database.upstreams
            if homes.find_home(database.name, u, fleet)
            == self._local_proxy.name
        )
        monitored.view = _with_declared_upstreams(monitored.view, database, now)
        return monitored

    def _start_polls(self, now: float) -> Iterator[filters.Item]:
        for monitored in self._state.monitored.values():
            for member in monitored.database.upstreams:
                is_due = now >= monitored.next_poll_at.get(member.name, now)
                if is_due and member.name not in monitored.polling:
                    yield self._start_poll(monitored, member, now)

    def _start_poll(
        self,
        monitored: MonitoredDatabase,
        member: document.Upstream,
        now: float,
    ) -> core_items.CallControl:
        monitored.polling.add(member.name)
        state = monitored.view.find(member.name)
        call = upstream.ReadStatus()
        if state is not None and state.status is not None:
            wait_s = POLL_WAIT_S if state.failed_at is None else 0.0
            call = upstream.ReadStatus(
                state.status.history,
                state.status.promised,
                wait_s,
                min(_hold_s(monitored, member.name), wait_s),
            )
        return core_items.CallControl(
            now,
            monitored.database.name,
            member.name,
            member.address,
            call,
            CALL_TIMEOUT_S,
        )

    def _handle_reply(
        self, item: core_items.ControlReplied
    ) -> Iterator[filters.Item]:
        monitored = self._state.monitored.get(item.database)
        if monitored is None or not isinstance(item.reply, upstream.Status):
            return
        monitored.polling.discard(item.upstream)
        previous = monitored.view.find(item.upstream)
        if previous is None or item.sent_at < previous.sent_at:
            return
        state = views.UpstreamState(item.upstream, item.reply, item.sent_at)
        monitored.view = _with_state(monitored, state, item.at)
        member = monitored.database.find(item.upstream)
        if member is not None:
            yield self._start_poll(monitored, member, item.at)
        yield monitored.view

    def _handle_failure(
        self, item: core_items.ControlFailed
    ) -> Iterator[filters.Item]:
        monitored = self._state.monitored.get(item.database)
        if monitored is None:
            return
        monitored.polling.discard(item.upstream)
        monitored.next_poll_at[item.upstream] = item.at + FAILED_POLL_DELAY_S
        state = monitored.view.find(item.upstream)
        if state is None or state.failed_at is not None:
            return
        failed = dataclasses.replace(state, failed_at=item.at)
        monitored.view = _with_state(monitored, failed, item.at)
        yield monitored.view


def _with_declared_upstreams(
    view: views.GroupView, database: document.Database, now: float
) -> views.GroupView:
    """Returns `view` with exactly the upstreams that `database` declares."""
    states = tuple(
        view.find(u.name) or views.UpstreamState(u.name)
        for u in database.upstreams
    )
    leaving = frozenset(u.name for u in database.upstreams if u.draining)
    return dataclasses.replace(view, at=now, states=states, leaving=leaving)


def _hold_s(monitored: MonitoredDatabase, name: str) -> float:
    """Returns how long the upstream `name` may delay reports of new entries.

    The delay is in seconds.
    """
    primary = monitored.view.primary
    if primary in monitored.home_upstreams and name != primary:
        return 0.0
    return HOME_HOLD_S if name in monitored.home_upstreams else WATCHER_HOLD_S


def _with_state(
    monitored: MonitoredDatabase, changed: views.UpstreamState, now: float
) -> views.GroupView:
    view = monitored.view
    states = tuple(
        changed if state.name == changed.name else state
        for state in view.states
    )
    term, primary = _find_served_term(states, view, monitored.database)
    samples = view.samples if term == view.term else ()
    if changed.name == primary and _is_reachable_primary(changed, term):
        samples = _add_sample(samples, changed)
    return dataclasses.replace(
        view,
        at=now,
        states=states,
        term=term,
        primary=primary,
        samples=samples,
        confirmed_at=_confirmed_at(states, term, monitored.database.majority),
    )


def _find_served_term(
    states: tuple[views.UpstreamState, ...],
    view: views.GroupView,
    database: document.Database,
) -> tuple[position.Term, str]:
    """Returns the highest term that is being served, and its primary.

    A replica that follows a term shows that the term is being served, even if
    this proxy cannot reach the term's primary.
    """
    term, primary = view.term, view.primary
    for state in states:
        status = state.status
        if status is None or status.term < term:
            continue
        if status.role is upstream.Role.PRIMARY:
            term, primary = status.term, state.name
        elif status.role is upstream.Role.REPLICA and status.term > term:
            term, primary = status.term, _find_primary_name(status, database)
    return term, primary


def _find_primary_name(
    status: upstream.Status, database: document.Database
) -> str:
    for member in database.upstreams:
        if status.primary in (member.name, member.address):
            return member.name
    return ""


def _is_reachable_primary(
    state: views.UpstreamState, term: position.Term
) -> bool:
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
    """Returns the last time at which a majority supported `term`.

    An upstream supports `term` while that is the highest term that it has
    promised. The result is minus infinity if no majority is known to support
    the term.
    """
    times = sorted(
        (
            state.sent_at
            for state in states
            if state.status is not None and state.status.promised == term
        ),
        reverse=True,
    )
    return times[majority - 1] if len(times) >= majority else float("-inf")
