"""Purging: the home of a primary drops ledger rows that nobody may ask for.

It is work of the lowest rank, a bounded number of rows at a time.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import (
    document,
    filters,
    homes,
    identity,
    request,
    views,
)
from fescueshunt.request import items, ledger

if TYPE_CHECKING:
    from collections.abc import Iterator

PURGE_EVERY_S = 10.0
PURGE_AGAIN_S = 0.2
PURGE_TIMEOUT_S = 5.0


@dataclasses.dataclass(slots=True)
class PurgeState:
    """What purging remembers; `due` is when each database is next."""

    settings: document.Document = document.Document()
    fleet: views.FleetView = views.FleetView(0.0, ())
    groups: dict[str, views.GroupView] = dataclasses.field(default_factory=dict)
    due: dict[str, float] = dataclasses.field(default_factory=dict)
    runs: int = 0


class Purge(filters.Filter):
    """Places a purge at each primary that this proxy is home to."""

    def __init__(self, me: identity.Identity) -> None:
        self._me = me
        self._state = PurgeState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields purges by ticks; consumes what came of them."""
        state = self._state
        match item:
            case items.Purged():
                if item.rows >= ledger.PURGE_ROWS:
                    state.due[item.database] = item.at + PURGE_AGAIN_S
                return
            case views.SettingsView():
                state.settings = item.document
            case views.FleetView():
                state.fleet = item
            case views.GroupView():
                state.groups[item.database] = item
            case filters.Tick():
                for database in state.settings.databases:
                    yield from self._purge(database, item)
        yield item

    def _purge(
        self, database: document.Database, tick: filters.Tick
    ) -> Iterator[filters.Item]:
        due = self._state.due.setdefault(database.name, tick.at + PURGE_EVERY_S)
        if tick.at < due:
            return
        self._state.due[database.name] = tick.at + PURGE_EVERY_S
        view = self._state.groups.get(database.name)
        if view is not None and self._leads(database, view, tick.at):
            work = self._work(database, tick)
            yield items.Placed(tick.at, work, view.primary)

    def _leads(
        self, database: document.Database, view: views.GroupView, now: float
    ) -> bool:
        primary = database.find(view.primary)
        if primary is None or not view.has_majority_support(now):
            return False
        home = homes.find_home(database.name, primary, self._state.fleet)
        return home == self._me.name

    def _work(
        self, database: document.Database, tick: filters.Tick
    ) -> items.Work:
        self._state.runs += 1
        rank = max(self._state.settings.ranks, key=lambda rank: rank.order)
        service = document.Service(
            "ledger-purge", database.group, rank.name, writes=True
        )
        number = self._state.runs.to_bytes(8, "big")
        req = request.Request(
            request.make_request_id(tick.wall_s, number + bytes(2)),
            service.name,
            database.name,
            request.Kind.WRITE,
            (ledger.purge(tick.wall_s),),
            caller=service.name,
        )
        return items.Work(
            at=tick.at,
            key=-self._state.runs,
            origin=items.BackgroundOrigin(),
            req=req,
            service=service,
            rank=rank,
            deadline=tick.at + PURGE_TIMEOUT_S,
        )
