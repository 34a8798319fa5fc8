"""The statements that wait for a connection, the most urgent first."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import session_items
from fescueshunt.sessions import pool, steps, waiting

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import filters, position, replica_sets
    from fescueshunt.sessions import choose, items, pools

WANT_EVERY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """A statement that can start on `link`; it needs the position `since`."""

    link: pool.Link
    work: items.Work
    since: position.Position | None


class Queue:
    """Waiting statements, and what each of them waits for."""

    def __init__(self, placement: choose.Placement, kept: pools.Pools) -> None:
        self._placement = placement
        self._pools = kept
        self._views: dict[str, replica_sets.ReplicaSetView] = {}
        self._works: list[items.Work] = []
        self._wanted_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._works)

    def see(self, view: replica_sets.ReplicaSetView) -> None:
        """Takes over the newest view of a database."""
        self._views[view.database] = view

    def add(self, work: items.Work) -> None:
        """Adds a statement."""
        self._works.append(work)
        self._works.sort(key=lambda one: (one.route.priority, one.arrived_at))

    def startable(self, now: float) -> Iterator[Start]:
        """Takes out and yields what can start.

        Each is to be started before the next one is asked for.
        """
        still: list[items.Work] = []
        for work in self._works:
            found = self._place(work, now)
            if found is None:
                still.append(work)
            else:
                yield found
        self._works = still

    def overdue(self, now: float) -> list[tuple[items.Work, str]]:
        """Takes out what waited too long, with what it waited for."""
        over = [work for work in self._works if now > work.refuse_at]
        if over:
            self._works = [w for w in self._works if now <= w.refuse_at]
        return [(work, self._why(work, now)) for work in over]

    def open_missing(self, now: float) -> Iterator[filters.Item]:
        """Opens a connection where those being opened aren't enough."""
        wanted: dict[str, int] = {}
        for work in self._works:
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
        for work in self._works:
            database = work.route.database
            asked_at = self._wanted_at.get(database, 0.0)
            if now - asked_at >= WANT_EVERY_S and self._needs_status(work, now):
                self._wanted_at[database] = now
                yield session_items.ConfirmationWanted(now, database)

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

    def _needs_status(self, work: items.Work, now: float) -> bool:
        view = self._views.get(work.route.database)
        if view is None:
            return False
        primary = self._pools.by_upstream.get(view.primary)
        has_link = primary is not None and primary.has_open_link()
        return waiting.needs_status(work, view, has_link, now)

    def _why(self, work: items.Work, now: float) -> str:
        view = self._views.get(work.route.database)
        has_choice = bool(self._choices(work, now))
        return waiting.why(work, view, has_choice, now)
