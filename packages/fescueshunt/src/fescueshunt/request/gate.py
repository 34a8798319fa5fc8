"""The gate of a home: whether its upstream can serve a piece of work now."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import filters, views
from fescueshunt.request import choose, items, outcome, route

if TYPE_CHECKING:
    from collections.abc import Iterator

CATCH_UP_WAIT_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Waiter:
    """A read that waits for its replica to catch up."""

    work: items.Work
    upstream: str
    until: float


@dataclasses.dataclass(slots=True)
class GateState:
    """What the gate remembers."""

    groups: dict[str, views.GroupView] = dataclasses.field(default_factory=dict)
    waiters: list[Waiter] = dataclasses.field(default_factory=list)


class Gate(filters.Filter):
    """Places work at its upstream, lets it wait, or sends it back."""

    def __init__(self, placement: choose.Placement) -> None:
        self._placement = placement
        self._state = GateState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields placements and returns for arrivals and waiting reads."""
        match item:
            case items.Arrived(upstream=""):
                yield item
            case items.Arrived():
                yield from self._arrive(item.at, item.work, item.upstream)
            case views.GroupView():
                self._state.groups[item.database] = item
                yield item
                yield from self._review(item.at, item.database)
            case filters.Tick():
                yield from self._review(item.at, "")
                yield item
            case _:
                yield item

    def _arrive(
        self, now: float, work: items.Work, upstream: str
    ) -> Iterator[filters.Item]:
        view = self._state.groups.get(work.req.database)
        if view is None:
            yield self._send_back(now, work, upstream, None, "")
        elif self._placement.wants_primary(work):
            yield self._place_at_primary(now, work, upstream, view)
        else:
            yield from self._place_read(now, work, upstream, view)

    def _place_at_primary(
        self,
        now: float,
        work: items.Work,
        upstream: str,
        view: views.GroupView,
    ) -> filters.Item:
        if upstream == view.primary and view.has_majority_support(now):
            return items.Placed(now, work, upstream)
        suggested = view.primary if upstream != view.primary else ""
        return self._send_back(now, work, upstream, view, suggested)

    def _place_read(
        self,
        now: float,
        work: items.Work,
        upstream: str,
        view: views.GroupView,
    ) -> Iterator[filters.Item]:
        state = view.find(upstream)
        if state is None or upstream in view.leaving:
            yield self._send_back(now, work, upstream, view, view.primary)
        elif choose.is_new_enough(work, view, state, now):
            yield items.Placed(now, work, upstream)
        elif state.failed_at is None:
            until = min(now + CATCH_UP_WAIT_S, work.deadline)
            self._state.waiters.append(Waiter(work, upstream, until))
        else:
            yield self._give_up(now, work, upstream, view)

    def _review(self, now: float, database: str) -> Iterator[filters.Item]:
        kept: list[Waiter] = []
        for waiter in self._state.waiters:
            same = database in ("", waiter.work.req.database)
            decided = self._review_waiter(now, waiter) if same else None
            if decided is None:
                kept.append(waiter)
            else:
                yield decided
        self._state.waiters = kept

    def _review_waiter(self, now: float, waiter: Waiter) -> filters.Item | None:
        view = self._state.groups[waiter.work.req.database]
        state = view.find(waiter.upstream)
        if state is not None and choose.is_new_enough(
            waiter.work, view, state, now
        ):
            return items.Placed(now, waiter.work, waiter.upstream)
        if now < waiter.until:
            return None
        return self._give_up(now, waiter.work, waiter.upstream, view)

    def _give_up(
        self,
        now: float,
        work: items.Work,
        upstream: str,
        view: views.GroupView,
    ) -> filters.Item:
        if view.primary == upstream:
            return self._refuse_at_primary(now, work, view)
        tried = work.avoid | {upstream}
        other = choose.satisfying(work, view, now, tried)
        return self._send_back(now, work, upstream, view, other or view.primary)

    def _refuse_at_primary(
        self, now: float, work: items.Work, view: views.GroupView
    ) -> filters.Item:
        if _lost(work, view):
            return outcome.refuse(now, work, errors.PositionLostError())
        return outcome.refuse(now, work, errors.TooStaleError())

    def _send_back(
        self,
        now: float,
        work: items.Work,
        upstream: str,
        view: views.GroupView | None,
        suggested: str,
    ) -> items.Retried:
        error = (
            errors.NoPrimaryError()
            if self._placement.wants_primary(work)
            else (errors.TooStaleError())
        )
        again = dataclasses.replace(
            work,
            suggested=suggested,
            error=error,
            avoid=work.avoid | {upstream},
        )
        brief = route.brief_of(view) if view is not None else None
        return items.Retried(now, again, brief)


def _lost(work: items.Work, view: views.GroupView) -> bool:
    """Tells whether the group's history has left out the session's write."""
    state = view.find(view.primary)
    if work.req.after is None or state is None or state.status is None:
        return False
    history = state.status.history
    return (
        not history.holds(work.req.after)
        and history.last.term > work.req.after.term
    )
