"""Witnessing: what each watcher of a database finds failing, told to others."""

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

REPEAT_S = 0.25
PAUSE_S = 0.5
DEAF_S = 1.0


@dataclasses.dataclass(slots=True)
class WitnessState:
    """What witnessing remembers, by database where it is a map."""

    settings: document.Document = document.Document()
    fleet: views.FleetView = views.FleetView(0.0, ())
    own: dict[str, items.Reported] = dataclasses.field(default_factory=dict)
    sent_at: dict[str, float] = dataclasses.field(default_factory=dict)
    ticked_at: float | None = None
    resumed_at: float = float("-inf")


class Witness(filters.Filter):
    """Reports what this proxy finds wrong, and passes on others' reports.

    A healthy group costs no message. After a pause of this process, what it
    finds counts from its resumption, and what others said while it was paused
    is not heard.
    """

    def __init__(self, me: identity.Identity) -> None:
        self._me = me
        self._state = WitnessState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields reports, and messages with them to other watchers."""
        self._note_pause(item)
        match item:
            case core_items.PeerReceived(message=peer.Witnessed()):
                yield from self._hear(item)
            case views.GroupView():
                yield item
                yield from self._watch(item)
            case filters.Tick():
                self._state.ticked_at = item.at
                yield from self._repeat(item.at)
                yield item
            case views.SettingsView():
                self._state.settings = item.document
                yield item
            case views.FleetView():
                self._state.fleet = item
                yield item
            case _:
                yield item

    def _note_pause(self, item: filters.Item) -> None:
        ticked_at = self._state.ticked_at
        if ticked_at is not None and item.at - ticked_at > PAUSE_S:
            self._state.resumed_at = item.at
            self._state.ticked_at = item.at
            self._state.own = {
                name: _restart(report, item.at)
                for name, report in self._state.own.items()
            }

    def _hear(self, item: core_items.PeerReceived) -> Iterator[filters.Item]:
        if item.at - self._state.resumed_at < DEAF_S:
            return
        said = item.message
        failing = tuple(
            items.Failing(entry.name, item.at - entry.for_s)
            for entry in said.failing
        )
        yield items.Reported(
            item.at,
            said.database,
            item.sender,
            said.term,
            failing,
            said.pending,
            item.at - said.pending_for_s,
        )

    def _watch(self, view: views.GroupView) -> Iterator[filters.Item]:
        before = self._state.own.get(view.database)
        report = self._report(view, before)
        if before is None and not (report.failing or _is_pending(report)):
            return
        self._state.own[view.database] = report
        yield report
        if before is None or _content(before) != _content(report):
            yield from self._tell(report, view.at)

    def _report(
        self, view: views.GroupView, before: items.Reported | None
    ) -> items.Reported:
        failing = tuple(
            items.Failing(
                state.name, max(state.failed_at, self._state.resumed_at)
            )
            for state in view.states
            if state.failed_at is not None
        )
        pending = highest_promise(view)
        if pending <= view.term:
            pending = position.NO_TERM
        since = view.at
        if before is not None and before.pending == pending:
            since = before.pending_since
        return items.Reported(
            view.at,
            view.database,
            self._me.name,
            view.term,
            failing,
            pending,
            since,
        )

    def _repeat(self, now: float) -> Iterator[filters.Item]:
        for name, report in list(self._state.own.items()):
            if not report.failing and not _is_pending(report):
                del self._state.own[name]
                continue
            yield dataclasses.replace(report, at=now)
            if now - self._state.sent_at[name] >= REPEAT_S:
                yield from self._tell(report, now)

    def _tell(
        self, report: items.Reported, now: float
    ) -> Iterator[filters.Item]:
        self._state.sent_at[report.database] = now
        database = self._state.settings.database(report.database)
        if database is None:
            return
        message = _message(report, now)
        for name in homes.select_watchers(database, self._state.fleet):
            if name != self._me.name:
                yield core_items.SendPeer(now, name, message)


def highest_promise(view: views.GroupView) -> position.Term:
    """Returns the highest term that an upstream is known to have promised."""
    return max(
        (state.status.promised for state in view.states if state.status),
        default=position.NO_TERM,
    )


def _restart(report: items.Reported, now: float) -> items.Reported:
    """Returns `report` as if all of it had begun now."""
    failing = tuple(items.Failing(f.name, now) for f in report.failing)
    return dataclasses.replace(report, failing=failing, pending_since=now)


def _is_pending(report: items.Reported) -> bool:
    return report.pending != position.NO_TERM


def _content(report: items.Reported) -> tuple[object, ...]:
    return (report.term, report.failing, report.pending)


def _message(report: items.Reported, now: float) -> peer.Witnessed:
    failing = tuple(
        peer.FailingUpstream(entry.name, max(now - entry.since, 0.0))
        for entry in report.failing
    )
    pending_for_s = now - report.pending_since if _is_pending(report) else 0.0
    return peer.Witnessed(
        report.database,
        report.term,
        failing,
        report.pending,
        max(pending_for_s, 0.0),
    )
