"""Filter that checks whether the chosen upstream can serve a request.

The check takes place at the home proxy of the upstream. Writes need the
current primary. Reads need an upstream whose data is new enough.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import filters, views
from fescueshunt.request import choose, items, outcome, route

if TYPE_CHECKING:
    from collections.abc import Iterator

CATCH_UP_TIMEOUT_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRead:
    """A read that waits for its upstream to catch up.

    `wait_until` is in seconds of the local clock.
    """

    work: items.Work
    upstream: str
    wait_until: float


@dataclasses.dataclass(slots=True)
class EligibilityState:
    """The newest group views by database, and the reads that wait."""

    groups: dict[str, views.GroupView] = dataclasses.field(default_factory=dict)
    waiting_reads: list[WaitingRead] = dataclasses.field(default_factory=list)


class EligibilityCheck(filters.Filter):
    """Assigns work to its upstream, delays it, or returns it to be rerouted.

    A read whose upstream lags behind waits up to CATCH_UP_TIMEOUT_S.
    """

    def __init__(self, read_preference: choose.ReadPreference) -> None:
        self._read_preference = read_preference
        self._state = EligibilityState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields assignments, retries and refusals for arrived work."""
        match item:
            case items.ArrivedAtHome(upstream=""):
                yield item
            case items.ArrivedAtHome():
                yield from self._check_arrival(
                    item.at, item.work, item.upstream
                )
            case views.GroupView():
                self._state.groups[item.database] = item
                yield item
                yield from self._check_waiting_reads(item.at, item.database)
            case filters.Tick():
                yield from self._check_waiting_reads(item.at, "")
                yield item
            case _:
                yield item

    def _check_arrival(
        self, now: float, work: items.Work, upstream: str
    ) -> Iterator[filters.Item]:
        view = self._state.groups.get(work.req.database)
        if view is None:
            yield self._make_retry(now, work, upstream, None, "")
        elif self._read_preference.requires_primary(work):
            yield self._assign_to_primary(now, work, upstream, view)
        else:
            yield from self._assign_read(now, work, upstream, view)

    def _assign_to_primary(
        self,
        now: float,
        work: items.Work,
        upstream: str,
        view: views.GroupView,
    ) -> filters.Item:
        if upstream == view.primary and view.has_majority_support(now):
            return items.Assigned(now, work, upstream)
        suggested = view.primary if upstream != view.primary else ""
        return self._make_retry(now, work, upstream, view, suggested)

    def _assign_read(
        self,
        now: float,
        work: items.Work,
        upstream: str,
        view: views.GroupView,
    ) -> Iterator[filters.Item]:
        state = view.find(upstream)
        if state is None or upstream in view.leaving:
            yield self._make_retry(now, work, upstream, view, view.primary)
        elif choose.is_fresh_enough(work, view, state, now):
            yield items.Assigned(now, work, upstream)
        elif state.failed_at is None:
            wait_until = min(now + CATCH_UP_TIMEOUT_S, work.deadline)
            self._state.waiting_reads.append(
                WaitingRead(work, upstream, wait_until)
            )
        else:
            yield self._handle_stale_read(now, work, upstream, view)

    def _check_waiting_reads(
        self, now: float, database: str
    ) -> Iterator[filters.Item]:
        still_waiting: list[WaitingRead] = []
        for waiting_read in self._state.waiting_reads:
            is_affected = database in ("", waiting_read.work.req.database)
            result = (
                self._check_waiting_read(now, waiting_read)
                if is_affected
                else None
            )
            if result is None:
                still_waiting.append(waiting_read)
            else:
                yield result
        self._state.waiting_reads = still_waiting

    def _check_waiting_read(
        self, now: float, waiting_read: WaitingRead
    ) -> filters.Item | None:
        view = self._state.groups[waiting_read.work.req.database]
        state = view.find(waiting_read.upstream)
        if state is not None and choose.is_fresh_enough(
            waiting_read.work, view, state, now
        ):
            return items.Assigned(now, waiting_read.work, waiting_read.upstream)
        if now < waiting_read.wait_until:
            return None
        return self._handle_stale_read(
            now, waiting_read.work, waiting_read.upstream, view
        )

    def _handle_stale_read(
        self,
        now: float,
        work: items.Work,
        upstream: str,
        view: views.GroupView,
    ) -> filters.Item:
        if view.primary == upstream:
            return self._handle_stale_primary(now, work, view)
        excluded = work.excluded | {upstream}
        alternative = choose.find_fresh_replica(work, view, now, excluded)
        return self._make_retry(
            now, work, upstream, view, alternative or view.primary
        )

    def _handle_stale_primary(
        self, now: float, work: items.Work, view: views.GroupView
    ) -> filters.Item:
        """Returns the read until its deadline if a newer status may admit it.

        It is refused if the primary can't serve it.
        """
        if _is_position_lost(work, view):
            return outcome.refuse(now, work, errors.PositionLostError())
        if _may_be_admitted_later(now, work, view):
            return self._make_retry(now, work, view.primary, view, "")
        return outcome.refuse(now, work, errors.TooStaleError())

    def _make_retry(
        self,
        now: float,
        work: items.Work,
        upstream: str,
        view: views.GroupView | None,
        suggested: str,
    ) -> items.RetryNeeded:
        error = (
            errors.NoPrimaryError()
            if self._read_preference.requires_primary(work)
            else errors.TooStaleError()
        )
        retried = dataclasses.replace(
            work,
            suggested=suggested,
            error=error,
            excluded=work.excluded | {upstream},
        )
        brief = route.group_brief(view) if view is not None else None
        return items.RetryNeeded(now, retried, brief)


def _may_be_admitted_later(
    now: float, work: items.Work, view: views.GroupView
) -> bool:
    """Returns whether the news of the primary may be out of date.

    This holds if it has no current status, if no majority has recently
    confirmed its term, or if its status misses the write of the session token.
    """
    state = view.find(view.primary)
    if state is None or state.status is None or state.failed_at is not None:
        return True
    if not view.has_majority_support(now):
        return True
    after = work.req.after
    return after is not None and not state.status.history.holds(after)


def _is_position_lost(work: items.Work, view: views.GroupView) -> bool:
    """Returns whether a failover discarded the write named by the token."""
    state = view.find(view.primary)
    if work.req.after is None or state is None or state.status is None:
        return False
    history = state.status.history
    return (
        not history.holds(work.req.after)
        and history.last.term > work.req.after.term
    )
