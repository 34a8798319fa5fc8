"""Suspicion: whether enough witnesses agree that a primary is to go."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import (
    document,
    filters,
    homes,
    identity,
    position,
    rendezvous,
    views,
)
from fescueshunt.failover import items

if TYPE_CHECKING:
    from collections.abc import Iterator

FAILING_S = 0.4
HALTED_S = 0.6
FENCED_S = 1.5
REPORT_TTL_S = 0.8


@dataclasses.dataclass(slots=True)
class SuspectState:
    """What suspicion remembers; `reports` by database and witness."""

    settings: document.Document = document.Document()
    fleet: views.FleetView = views.FleetView(0.0, ())
    groups: dict[str, views.GroupView] = dataclasses.field(default_factory=dict)
    reports: dict[str, dict[str, items.Reported]] = dataclasses.field(
        default_factory=dict
    )


class Suspect(filters.Filter):
    """Weighs the newest reports of a database's watchers.

    A majority of the watchers has to agree, each for a stated time, so that
    one bad link or one bad proxy replaces nobody.
    """

    def __init__(self, me: identity.Identity) -> None:
        self._me = me
        self._state = SuspectState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields a suspicion at each tick for which it holds."""
        match item:
            case items.Reported():
                reports = self._state.reports.setdefault(item.database, {})
                reports[item.witness] = item
            case views.GroupView():
                self._state.groups[item.database] = item
                yield item
            case views.SettingsView():
                self._state.settings = item.document
                yield item
            case views.FleetView():
                self._state.fleet = item
                yield item
            case filters.Tick():
                yield from self._review(item.at)
                yield from self._review_leaving(item.at)
                yield item
            case _:
                yield item

    def _review(self, now: float) -> Iterator[filters.Item]:
        for name, reports in list(self._state.reports.items()):
            fresh = {
                witness: report
                for witness, report in reports.items()
                if now - report.at <= REPORT_TTL_S
            }
            if not fresh:
                del self._state.reports[name]
                continue
            self._state.reports[name] = fresh
            yield from self._weigh(name, fresh, now)

    def _weigh(
        self, name: str, reports: dict[str, items.Reported], now: float
    ) -> Iterator[filters.Item]:
        view = self._state.groups.get(name)
        database = self._state.settings.database(name)
        if view is None or database is None:
            return
        watchers = homes.select_watchers(database, self._state.fleet)
        if self._me.name not in watchers:
            return
        heard = [reports[w] for w in watchers if w in reports]
        for cause, agreeing in _causes(view, database, heard, now):
            if len(agreeing) > len(watchers) // 2:
                turn = self._turn(view, watchers, agreeing)
                yield items.Suspected(now, view, cause, agreeing, turn)
                return

    def _review_leaving(self, now: float) -> Iterator[filters.Item]:
        """Yields a suspicion for each leaving primary that has successors."""
        for name, view in self._state.groups.items():
            if view.primary not in view.leaving:
                continue
            database = self._state.settings.database(name)
            if database is None or not _has_successors(view, database, now):
                continue
            watchers = homes.select_watchers(database, self._state.fleet)
            if self._me.name in watchers:
                turn = self._turn(view, watchers, watchers)
                cause = views.Cause.LEAVING
                yield items.Suspected(now, view, cause, watchers, turn)

    def _turn(
        self,
        view: views.GroupView,
        watchers: tuple[str, ...],
        agreeing: tuple[str, ...],
    ) -> int:
        """Returns this proxy's place in the order of proposers."""
        key = f"{view.database}/{view.term.number}"
        ordered = rendezvous.sort_by_weight(key, watchers)
        ordered.sort(key=lambda name: name not in agreeing)
        return ordered.index(self._me.name)


def _causes(
    view: views.GroupView,
    database: document.Database,
    heard: list[items.Reported],
    now: float,
) -> Iterator[tuple[views.Cause, tuple[str, ...]]]:
    failing = tuple(
        report.witness for report in heard if _finds_failing(report, view, now)
    )
    yield views.Cause.FAILING, failing
    limit_s = HALTED_S if _is_halted(view, database) else FENCED_S
    halted = tuple(
        report.witness
        for report in heard
        if _finds_pending(report, view) and now - report.pending_since > limit_s
    )
    yield views.Cause.HALTED, halted


def _has_successors(
    view: views.GroupView, database: document.Database, now: float
) -> bool:
    """Tells whether a majority of the group stays and follows the primary."""
    following = [
        state.name
        for state in view.states
        if state.name not in view.leaving
        and state.failed_at is None
        and state.status is not None
        and state.status.term == view.term
        and state.status.promised == view.term
    ]
    return (
        view.has_majority_support(now) and len(following) >= database.majority
    )


def _finds_failing(
    report: items.Reported, view: views.GroupView, now: float
) -> bool:
    since = report.failing_since(view.primary)
    return since is not None and now - since >= FAILING_S


def _finds_pending(report: items.Reported, view: views.GroupView) -> bool:
    """Tells whether the witness sees a promise above the term that serves."""
    return report.term == view.term and report.pending != position.NO_TERM


def _is_halted(view: views.GroupView, database: document.Database) -> bool:
    """Tells whether the term that serves can't confirm a write any more."""
    above = [
        state.name
        for state in view.states
        if state.status is not None and state.status.promised > view.term
    ]
    return view.primary in above or len(above) >= database.majority
