"""Filter that purges expired rows of the ledger in batches.

The home proxy of the primary runs each batch as a request of the lowest rank.
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

PURGE_INTERVAL_S = 10.0
FULL_BATCH_DELAY_S = 0.2
PURGE_TIMEOUT_S = 5.0


@dataclasses.dataclass(slots=True)
class PurgeState:
    """State of the purge.

    Attributes:
      settings: the settings in force.
      fleet: the newest view of the proxies.
      groups: the newest group views, by database.
      next_purge_at: when the next purge is due, by database; seconds, local
        clock.
      purge_count: the number of purges that this process has started.
    """

    settings: document.Document = document.Document()
    fleet: views.FleetView = views.FleetView(0.0, ())
    groups: dict[str, views.GroupView] = dataclasses.field(default_factory=dict)
    next_purge_at: dict[str, float] = dataclasses.field(default_factory=dict)
    purge_count: int = 0


class Purge(filters.Filter):
    """Schedules purges on each primary whose home proxy is this proxy.

    A database is purged every PURGE_INTERVAL_S, and again FULL_BATCH_DELAY_S
    after a batch that deleted the maximum number of rows.
    """

    def __init__(self, local_proxy: identity.Identity) -> None:
        self._local_proxy = local_proxy
        self._state = PurgeState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields purges that are due, and consumes the results of purges."""
        state = self._state
        match item:
            case items.LedgerPurged():
                if item.rows >= ledger.PURGE_ROWS:
                    state.next_purge_at[item.database] = (
                        item.at + FULL_BATCH_DELAY_S
                    )
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
        next_purge_at = self._state.next_purge_at.setdefault(
            database.name, tick.at + PURGE_INTERVAL_S
        )
        if tick.at < next_purge_at:
            return
        self._state.next_purge_at[database.name] = tick.at + PURGE_INTERVAL_S
        view = self._state.groups.get(database.name)
        if view is not None and self._is_home_of_primary(
            database, view, tick.at
        ):
            work = self._make_work(database, tick)
            yield items.Assigned(tick.at, work, view.primary)

    def _is_home_of_primary(
        self, database: document.Database, view: views.GroupView, now: float
    ) -> bool:
        primary = database.find(view.primary)
        if primary is None or not view.has_majority_support(now):
            return False
        home = homes.find_home(database.name, primary, self._state.fleet)
        return home == self._local_proxy.name

    def _make_work(
        self, database: document.Database, tick: filters.Tick
    ) -> items.Work:
        self._state.purge_count += 1
        rank = max(self._state.settings.ranks, key=lambda rank: rank.order)
        service = document.Service(
            "ledger-purge", database.group, rank.name, writes=True
        )
        counter_bytes = self._state.purge_count.to_bytes(8, "big")
        req = request.Request(
            request.make_request_id(tick.wall_s, counter_bytes + bytes(2)),
            service.name,
            database.name,
            request.Kind.WRITE,
            (ledger.purge_statement(tick.wall_s),),
            caller=service.name,
        )
        return items.Work(
            at=tick.at,
            key=-self._state.purge_count,
            origin=items.BackgroundOrigin(),
            req=req,
            service=service,
            rank=rank,
            deadline=tick.at + PURGE_TIMEOUT_S,
        )
