"""Filter that decides from watchers' reports whether to replace a primary."""

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

FAILING_THRESHOLD_S = 0.4
HALTED_THRESHOLD_S = 0.6
PARTLY_FENCED_THRESHOLD_S = 1.5
REPORT_TTL_S = 0.8


@dataclasses.dataclass(slots=True)
class SuspicionDetectorState:
    """State of the filter. `reports` is keyed by database, then by witness."""

    settings: document.Document = document.Document()
    fleet: views.FleetView = views.FleetView(0.0, ())
    groups: dict[str, views.GroupView] = dataclasses.field(default_factory=dict)
    reports: dict[str, dict[str, items.WitnessReport]] = dataclasses.field(
        default_factory=dict
    )


class SuspicionDetector(filters.Filter):
    """Evaluates the newest reports of a database's watchers.

    A majority of the watchers must have observed the fault, each for a minimum
    time, so that one faulty link or proxy cannot cause a failover.
    """

    def __init__(self, local_proxy: identity.Identity) -> None:
        self._local_proxy = local_proxy
        self._state = SuspicionDetectorState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields a suspicion at each tick for each primary to be replaced."""
        match item:
            case items.WitnessReport():
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
                yield from self._evaluate_reports(item.at)
                yield from self._evaluate_leaving(item.at)
                yield item
            case _:
                yield item

    def _evaluate_reports(self, now: float) -> Iterator[filters.Item]:
        for name, reports in list(self._state.reports.items()):
            current_reports = {
                witness: report
                for witness, report in reports.items()
                if now - report.at <= REPORT_TTL_S
            }
            if not current_reports:
                del self._state.reports[name]
                continue
            self._state.reports[name] = current_reports
            yield from self._evaluate_database(name, current_reports, now)

    def _evaluate_database(
        self, name: str, reports: dict[str, items.WitnessReport], now: float
    ) -> Iterator[filters.Item]:
        view = self._state.groups.get(name)
        database = self._state.settings.database(name)
        if view is None or database is None:
            return
        watchers = homes.select_watchers(database, self._state.fleet)
        if self._local_proxy.name not in watchers:
            return
        watcher_reports = [reports[w] for w in watchers if w in reports]
        for cause, agreeing in _group_by_cause(
            view, database, watcher_reports, now
        ):
            if len(agreeing) > len(watchers) // 2:
                proposer_index = self._proposer_index(view, watchers, agreeing)
                yield items.PrimarySuspected(
                    now, view, cause, agreeing, proposer_index
                )
                return

    def _evaluate_leaving(self, now: float) -> Iterator[filters.Item]:
        """Yields a suspicion for each leaving primary that can be replaced."""
        for name, view in self._state.groups.items():
            if view.primary not in view.leaving:
                continue
            database = self._state.settings.database(name)
            if database is None or not _can_replace_leaving(
                view, database, now
            ):
                continue
            watchers = homes.select_watchers(database, self._state.fleet)
            if self._local_proxy.name in watchers:
                proposer_index = self._proposer_index(view, watchers, watchers)
                cause = views.Cause.LEAVING
                yield items.PrimarySuspected(
                    now, view, cause, watchers, proposer_index
                )

    def _proposer_index(
        self,
        view: views.GroupView,
        watchers: tuple[str, ...],
        agreeing: tuple[str, ...],
    ) -> int:
        """Returns this proxy's position in the order of proposers, from 0.

        Watchers that agree come before those that do not.
        """
        key = f"{view.database}/{view.term.number}"
        ordered = rendezvous.sort_by_weight(key, watchers)
        ordered.sort(key=lambda name: name not in agreeing)
        return ordered.index(self._local_proxy.name)


def _group_by_cause(
    view: views.GroupView,
    database: document.Database,
    watcher_reports: list[items.WitnessReport],
    now: float,
) -> Iterator[tuple[views.Cause, tuple[str, ...]]]:
    failing = tuple(
        report.witness
        for report in watcher_reports
        if _reports_failing_primary(report, view, now)
    )
    yield views.Cause.FAILING, failing
    limit_s = (
        HALTED_THRESHOLD_S
        if _is_term_halted(view, database)
        else PARTLY_FENCED_THRESHOLD_S
    )
    halted = tuple(
        report.witness
        for report in watcher_reports
        if _reports_pending_term(report, view)
        and now - report.pending_since > limit_s
    )
    yield views.Cause.HALTED, halted


def _can_replace_leaving(
    view: views.GroupView, database: document.Database, now: float
) -> bool:
    """Returns whether a majority of the group stays and follows the primary."""
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


def _reports_failing_primary(
    report: items.WitnessReport, view: views.GroupView, now: float
) -> bool:
    since = report.failing_since(view.primary)
    return since is not None and now - since >= FAILING_THRESHOLD_S


def _reports_pending_term(
    report: items.WitnessReport, view: views.GroupView
) -> bool:
    """Returns whether the witness reports a promise above the current term."""
    return report.term == view.term and report.pending_term != position.NO_TERM


def _is_term_halted(view: views.GroupView, database: document.Database) -> bool:
    """Returns whether the current term can no longer confirm writes.

    That is the case if its primary, or a majority of the upstreams, has
    promised a higher term.
    """
    promised_higher = [
        state.name
        for state in view.states
        if state.status is not None and state.status.promised > view.term
    ]
    return (
        view.primary in promised_higher
        or len(promised_higher) >= database.majority
    )
