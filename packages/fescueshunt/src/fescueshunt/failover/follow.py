"""Following: every upstream of a group is turned to the primary in force."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import (
    document,
    filters,
    homes,
    identity,
    upstream,
    views,
)
from fescueshunt.core import (
    items as core_items,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

CALL_TIMEOUT_S = 0.6
AGAIN_S = 0.3
OTHERS_S = 0.6


@dataclasses.dataclass(slots=True)
class Astray:
    """An upstream that doesn't follow the primary in force.

    `since` is when that was first seen, `called_at` when it was last told.
    """

    since: float
    called_at: float = float("-inf")


@dataclasses.dataclass(slots=True)
class FollowState:
    """What following remembers; `astray` by database and upstream."""

    settings: document.Document = document.Document()
    fleet: views.FleetView = views.FleetView(0.0, ())
    groups: dict[str, views.GroupView] = dataclasses.field(default_factory=dict)
    promoted: set[str] = dataclasses.field(default_factory=set)
    astray: dict[tuple[str, str], Astray] = dataclasses.field(
        default_factory=dict
    )


class Follow(filters.Filter):
    """Demotes old primaries and turns replicas to the new one.

    The home of an upstream, and whoever promoted, does so at once; the other
    watchers only if it stays undone.
    """

    def __init__(self, me: identity.Identity) -> None:
        self._me = me
        self._state = FollowState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields calls to follow."""
        yield item
        match item:
            case views.Promotion():
                self._state.promoted.add(item.database)
            case views.GroupView():
                self._state.groups[item.database] = item
                yield from self._review(item, item.at)
            case views.SettingsView():
                self._state.settings = item.document
            case views.FleetView():
                self._state.fleet = item
            case filters.Tick():
                for view in self._state.groups.values():
                    yield from self._review(view, item.at)

    def _review(
        self, view: views.GroupView, now: float
    ) -> Iterator[filters.Item]:
        database = self._state.settings.database(view.database)
        primary = database.find(view.primary) if database else None
        if primary is None:
            return
        for state in view.states:
            key = (view.database, state.name)
            if not is_astray(state, view, primary):
                self._state.astray.pop(key, None)
                continue
            astray = self._state.astray.setdefault(key, Astray(now))
            if self._is_due(database, state.name, astray, now):
                astray.called_at = now
                yield _call(now, database, state.name, view, primary)

    def _is_due(
        self,
        database: document.Database,
        name: str,
        astray: Astray,
        now: float,
    ) -> bool:
        if now - astray.called_at < AGAIN_S:
            return False
        if database.name in self._state.promoted:
            return True
        member = database.find(name)
        if member is None:
            return False
        home = homes.find_home(database.name, member, self._state.fleet)
        return home == self._me.name or now - astray.since >= OTHERS_S


def is_astray(
    state: views.UpstreamState,
    view: views.GroupView,
    primary: document.Upstream,
) -> bool:
    """Tells whether an upstream that answers doesn't follow `primary`."""
    status = state.status
    if status is None or state.failed_at is not None:
        return False
    if state.name == primary.name or status.promised > view.term:
        return False
    follows = (
        status.role is upstream.Role.REPLICA
        and status.term == view.term
        and status.primary in (primary.address, primary.name)
    )
    return not follows


def _call(
    now: float,
    database: document.Database,
    name: str,
    view: views.GroupView,
    primary: document.Upstream,
) -> core_items.CallControl:
    call = upstream.Follow(view.term, primary.name, primary.address)
    return core_items.CallControl(
        now,
        database.name,
        name,
        database.find(name).address,
        call,
        CALL_TIMEOUT_S,
    )
