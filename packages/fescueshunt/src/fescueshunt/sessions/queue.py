"""The statements that wait for a connection.

Those that only the primary of a database may run wait in one line, those that
any of its members may run in another. In each line the schedule of ranks says
which goes next, and which can't be served in its time.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import ranked, schedule, session_items
from fescueshunt.sessions import moves, pool, steps, waiting

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from fescueshunt.core import filters, position, replica_sets
    from fescueshunt.sessions import choose, items, pools

WANT_EVERY_S = 0.1
NOT_IN_TIME = "queue too long"


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """A statement that can start on `link`; it needs the position `since`."""

    link: pool.Link
    work: items.Work
    since: position.Position | None


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A statement that won't be served in its time, and why."""

    work: items.Work
    why: str


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where statements wait together."""

    database: str
    at_primary: bool


@dataclasses.dataclass(slots=True)
class Line:
    """The statements of one place.

    Attributes:
      schedule: those that wait.
      running: how many run, by the order of their rank.
    """

    schedule: schedule.Scheduler
    running: dict[int, int] = dataclasses.field(default_factory=dict)


class Queue:
    """Waiting statements, and what each of them waits for."""

    def __init__(
        self,
        placement: choose.Placement,
        kept: pools.Pools,
        make_schedule: Callable[
            [], schedule.Scheduler
        ] = ranked.PriorityScheduler,
    ) -> None:
        self._placement = placement
        self._pools = kept
        self._make_schedule = make_schedule
        self._views: dict[str, replica_sets.ReplicaSetView] = {}
        self._lines: dict[Place, Line] = {}
        self._started_at: dict[items.Work, float] = {}
        self._wanted_at: dict[str, float] = {}
        self._moves = moves.Moves()

    def __len__(self) -> int:
        return sum(len(line.schedule) for line in self._lines.values())

    def see(self, view: replica_sets.ReplicaSetView) -> None:
        """Takes over the newest view of a database.

        What waited for a primary that was replaced has its wait anew: those
        that waited go one after the other.
        """
        self._views[view.database] = view
        if self._moves.see(view):
            line = self._line(Place(view.database, at_primary=True))
            for work in line.schedule.waiting():
                wait_until = view.at + work.wait_s
                work.refuse_at = min(wait_until, work.expire_at)

    def add(self, work: items.Work, now: float) -> Refusal | None:
        """Adds a statement, or returns why it isn't worth waiting."""
        place = _place_of(work)
        line = self._line(place)
        slots = self._slots(place, line)
        if line.schedule.offer(work, now, slots) is None:
            return None
        return Refusal(work, NOT_IN_TIME)

    def add_again(self, work: items.Work) -> None:
        """Adds a statement that was sent and did not run; it goes first."""
        self._line(_place_of(work)).schedule.put_back(work)

    def startable(self, now: float) -> Iterator[Start | Refusal]:
        """Takes out and yields what can start, and what is too late.

        Each is to be started before the next one is asked for.
        """
        for place, line in self._lines.items():
            yield from self._startable(place, line, now)

    def ended(self, work: items.Work, now: float, *, ran: bool) -> None:
        """Notes that a statement holds its connection no more.

        What did not run to its end tells nothing of how long work takes.
        """
        started_at = self._started_at.pop(work, None)
        if started_at is None:
            return
        line = self._line(_place_of(work))
        line.running[work.rank.order] -= 1
        if ran:
            line.schedule.released(work, now - started_at)

    def overdue(self, now: float) -> Iterator[Refusal]:
        """Takes out what waited too long, with what it waited for."""
        for line in self._lines.values():
            over = line.schedule.remove_if(
                lambda work: self._is_over(work, now)
            )
            for work in over:
                yield Refusal(work, self._why(work, now))

    def open_missing(self, now: float) -> Iterator[filters.Item]:
        """Opens a connection where those being opened aren't enough."""
        wanted: dict[str, int] = {}
        for work in self._waiting():
            choices = self._choices(work, now)
            if choices:
                first = choices[0].upstream
                wanted[first] = wanted.get(first, 0) + 1
        for upstream, count in wanted.items():
            kept = self._pools.by_upstream[upstream]
            opening = kept.count(pool.LinkState.OPENING)
            if opening < count and kept.may_open(now):
                yield self._pools.open(kept, now)

    def request_status(self, now: float) -> Iterator[filters.Item]:
        """Asks for the members' status where a statement waits for them."""
        for work in self._waiting():
            database = work.route.database
            asked_at = self._wanted_at.get(database, 0.0)
            if now - asked_at >= WANT_EVERY_S and self._needs_status(work, now):
                self._wanted_at[database] = now
                yield session_items.ConfirmationRequested(now, database)

    def _waiting(self) -> Iterator[items.Work]:
        for line in self._lines.values():
            yield from line.schedule.waiting()

    def _line(self, place: Place) -> Line:
        """Returns the line of a place; those at primaries are served first."""
        found = self._lines.get(place)
        if found is None:
            found = Line(self._make_schedule())
            lines = {**self._lines, place: found}
            places = sorted(lines, key=lambda one: not one.at_primary)
            self._lines = {one: lines[one] for one in places}
        return found

    def _startable(
        self, place: Place, line: Line, now: float
    ) -> Iterator[Start | Refusal]:
        unplaced: list[items.Work] = []
        try:
            while len(line.schedule) and self._has_idle(place):
                slots = self._slots(place, line)
                work, late = line.schedule.pop(now, slots)
                for one in late:
                    yield Refusal(one, NOT_IN_TIME)
                if work is None:
                    break
                found = self._place(work, now)
                if found is None:
                    unplaced.append(work)
                    continue
                self._note_start(line, work, now)
                yield found
        finally:
            for work in reversed(unplaced):
                line.schedule.put_back(work)

    def _note_start(self, line: Line, work: items.Work, now: float) -> None:
        order = work.rank.order
        line.running[order] = line.running.get(order, 0) + 1
        line.schedule.started(work, now)
        self._started_at[work] = now

    def _members(self, place: Place) -> Iterator[pool.Pool]:
        view = self._views.get(place.database)
        if view is None:
            return
        for member in view.members:
            if not place.at_primary or member.upstream == view.primary:
                kept = self._pools.by_upstream.get(member.upstream)
                if kept is not None:
                    yield kept

    def _has_idle(self, place: Place) -> bool:
        return any(kept.has_idle() for kept in self._members(place))

    def _slots(self, place: Place, line: Line) -> schedule.Slots:
        """Returns what this host can run there now, by its connections."""
        open_links = sum(kept.open_links() for kept in self._members(place))
        return schedule.Slots(max(open_links, 1), line.running)

    def _place(self, work: items.Work, now: float) -> Start | None:
        if now < work.not_before:
            return None
        for choice in self._choices(work, now):
            idle = self._pools.by_upstream[choice.upstream].idle_links()
            if idle:
                link = min(idle, key=lambda one: steps.cost(work, one))
                return Start(link, work, choice.since)
        return None

    def _choices(self, work: items.Work, now: float) -> list[choose.Choice]:
        view = self._views.get(work.route.database)
        if view is None:
            return []
        by_upstream = self._pools.by_upstream
        return self._placement.choices(work, view, by_upstream, now)

    def _is_over(self, work: items.Work, now: float) -> bool:
        """Tells whether `work` has waited long enough.

        For a primary that is being replaced it waits as long as its time
        allows, or not at all.
        """
        if not work.needs_primary:
            return now > work.refuse_at
        ends_at = self._moves.ends_at(work.route.database, now)
        if ends_at is None:
            return now > work.refuse_at
        return ends_at > work.expire_at

    def _needs_status(self, work: items.Work, now: float) -> bool:
        view = self._views.get(work.route.database)
        if view is None:
            return False
        primary = self._pools.by_upstream.get(view.primary)
        has_link = primary is not None and primary.open_links() > 0
        return waiting.needs_status(work, view, has_link, now)

    def _why(self, work: items.Work, now: float) -> str:
        view = self._views.get(work.route.database)
        has_choice = bool(self._choices(work, now))
        return waiting.why(work, view, has_choice, now)


def _place_of(work: items.Work) -> Place:
    return Place(work.route.database, work.needs_primary)
