"""Filter that reports failing upstreams to other watchers of a database."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import (
    document,
    filters,
    homes,
    identity,
    peer,
    position,
    views,
)
from fescueshunt.core import (
    items as core_items,
)
from fescueshunt.failover import items

if TYPE_CHECKING:
    from collections.abc import Iterator

RESEND_INTERVAL_S = 0.25
PAUSE_THRESHOLD_S = 0.5
IGNORE_PEERS_AFTER_PAUSE_S = 1.0


@dataclasses.dataclass(slots=True)
class WitnessReporterState:
    """State of the filter.

    Times are on the local clock, in seconds.

    Attributes:
      own_reports: the reports of this proxy, by database name.
      sent_at: when a report was last sent to the other watchers, by database
        name.
      ticked_at: the time of the last tick.
      resumed_at: when this process last resumed after a pause.
    """

    settings: document.Document = document.Document()
    fleet: views.FleetView = views.FleetView(0.0, ())
    own_reports: dict[str, items.WitnessReport] = dataclasses.field(
        default_factory=dict
    )
    sent_at: dict[str, float] = dataclasses.field(default_factory=dict)
    ticked_at: float | None = None
    resumed_at: float = float("-inf")


class WitnessReporter(filters.Filter):
    """Yields reports of the faults that this proxy and its peers observe.

    No messages are sent for a healthy group. After a pause of this process,
    the durations of its own observations restart at the time of resumption,
    and reports from peers are ignored for IGNORE_PEERS_AFTER_PAUSE_S, because
    they may have been sent during the pause.
    """

    def __init__(self, local_proxy: identity.Identity) -> None:
        self._local_proxy = local_proxy
        self._state = WitnessReporterState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields reports, and messages that send them to other watchers."""
        self._detect_pause(item)
        match item:
            case core_items.PeerReceived(message=peer.Witnessed()):
                yield from self._handle_peer_report(item)
            case views.GroupView():
                yield item
                yield from self._update_own_report(item)
            case filters.Tick():
                self._state.ticked_at = item.at
                yield from self._resend_reports(item.at)
                yield item
            case views.SettingsView():
                self._state.settings = item.document
                yield item
            case views.FleetView():
                self._state.fleet = item
                yield item
            case _:
                yield item

    def _detect_pause(self, item: filters.Item) -> None:
        ticked_at = self._state.ticked_at
        if ticked_at is not None and item.at - ticked_at > PAUSE_THRESHOLD_S:
            self._state.resumed_at = item.at
            self._state.ticked_at = item.at
            self._state.own_reports = {
                name: _restart_durations(report, item.at)
                for name, report in self._state.own_reports.items()
            }

    def _handle_peer_report(
        self, item: core_items.PeerReceived
    ) -> Iterator[filters.Item]:
        if item.at - self._state.resumed_at < IGNORE_PEERS_AFTER_PAUSE_S:
            return
        message = item.message
        failing = tuple(
            items.ObservedFailure(entry.name, item.at - entry.for_s)
            for entry in message.failing
        )
        yield items.WitnessReport(
            item.at,
            message.database,
            item.sender,
            message.term,
            failing,
            message.pending,
            item.at - message.pending_for_s,
        )

    def _update_own_report(
        self, view: views.GroupView
    ) -> Iterator[filters.Item]:
        previous = self._state.own_reports.get(view.database)
        report = self._build_report(view, previous)
        if previous is None and not (
            report.failing or _has_pending_term(report)
        ):
            return
        self._state.own_reports[view.database] = report
        yield report
        if previous is None or _report_content(previous) != _report_content(
            report
        ):
            yield from self._send_to_watchers(report, view.at)

    def _build_report(
        self, view: views.GroupView, previous: items.WitnessReport | None
    ) -> items.WitnessReport:
        failing = tuple(
            items.ObservedFailure(
                state.name, max(state.failed_at, self._state.resumed_at)
            )
            for state in view.states
            if state.failed_at is not None
        )
        pending_term = highest_promise(view)
        if pending_term <= view.term:
            pending_term = position.NO_TERM
        since = view.at
        if previous is not None and previous.pending_term == pending_term:
            since = previous.pending_since
        return items.WitnessReport(
            view.at,
            view.database,
            self._local_proxy.name,
            view.term,
            failing,
            pending_term,
            since,
        )

    def _resend_reports(self, now: float) -> Iterator[filters.Item]:
        for name, report in list(self._state.own_reports.items()):
            if not report.failing and not _has_pending_term(report):
                del self._state.own_reports[name]
                continue
            yield dataclasses.replace(report, at=now)
            if now - self._state.sent_at[name] >= RESEND_INTERVAL_S:
                yield from self._send_to_watchers(report, now)

    def _send_to_watchers(
        self, report: items.WitnessReport, now: float
    ) -> Iterator[filters.Item]:
        self._state.sent_at[report.database] = now
        database = self._state.settings.database(report.database)
        if database is None:
            return
        message = _to_peer_message(report, now)
        for name in homes.select_watchers(database, self._state.fleet):
            if name != self._local_proxy.name:
                yield core_items.SendPeer(now, name, message)


def highest_promise(view: views.GroupView) -> position.Term:
    """Returns the highest term that any upstream is known to have promised."""
    return max(
        (state.status.promised for state in view.states if state.status),
        default=position.NO_TERM,
    )


def _restart_durations(
    report: items.WitnessReport, now: float
) -> items.WitnessReport:
    """Returns a copy of `report` whose observations all begin at `now`."""
    failing = tuple(items.ObservedFailure(f.name, now) for f in report.failing)
    return dataclasses.replace(report, failing=failing, pending_since=now)


def _has_pending_term(report: items.WitnessReport) -> bool:
    return report.pending_term != position.NO_TERM


def _report_content(report: items.WitnessReport) -> tuple[object, ...]:
    return (report.term, report.failing, report.pending_term)


def _to_peer_message(report: items.WitnessReport, now: float) -> peer.Witnessed:
    failing = tuple(
        peer.FailingUpstream(entry.name, max(now - entry.since, 0.0))
        for entry in report.failing
    )
    pending_for_s = (
        now - report.pending_since if _has_pending_term(report) else 0.0
    )
    return peer.Witnessed(
        report.database,
        report.term,
        failing,
        report.pending_term,
        max(pending_for_s, 0.0),
    )
