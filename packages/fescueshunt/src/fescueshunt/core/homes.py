"""Home proxies: who holds the pool and the queue of an upstream."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from fescueshunt.core import document, rendezvous, views

if TYPE_CHECKING:
    from collections.abc import Iterable

# Three homes may hold a pool of one upstream at once while views differ.
CONNECTION_SHARE = 1 / 3
MIN_WATCHERS = 3
HOME_STATES = frozenset({views.MemberState.LIVE})
WATCHER_STATES = frozenset({views.MemberState.LIVE, views.MemberState.SUSPECT})


class HomeAssignment(abc.ABC):
    """Which proxy holds the pool and the queue of an upstream."""

    @abc.abstractmethod
    def find_home(
        self,
        database: str,
        upstream: document.Upstream,
        fleet: views.FleetView,
        me: str,
    ) -> str:
        """Returns the name of the home, as the proxy `me` sees it."""

    @abc.abstractmethod
    def slots(self, group: document.Group, fleet: views.FleetView) -> int:
        """Returns how many slots of an upstream one home uses."""

    @abc.abstractmethod
    def connections(self, group: document.Group, fleet: views.FleetView) -> int:
        """Returns how many connections one home opens at most."""


class SingleHome(HomeAssignment):
    """One proxy is home to an upstream, and the others forward to it.

    Homes found are kept for as long as the fleet view is the same.
    """

    def __init__(self) -> None:
        self._fleet = views.FleetView(0.0, ())
        self._known: dict[tuple[str, str, str], str] = {}

    def find_home(
        self,
        database: str,
        upstream: document.Upstream,
        fleet: views.FleetView,
        me: str,
    ) -> str:
        """Returns the home by rendezvous hashing."""
        if fleet is not self._fleet:
            self._fleet = fleet
            self._known = {}
        key = (database, upstream.name, upstream.zone)
        if key not in self._known:
            self._known[key] = find_home(database, upstream, fleet)
        return self._known[key]

    def slots(self, group: document.Group, fleet: views.FleetView) -> int:
        """Returns all slots."""
        return group.slots

    def connections(self, group: document.Group, fleet: views.FleetView) -> int:
        """Returns a share that leaves room for homes that overlap."""
        return max(int(group.connections * CONNECTION_SHARE), 1)


class SplitPools(HomeAssignment):
    """Each proxy has an equal part of each upstream; a baseline."""

    def find_home(
        self,
        database: str,
        upstream: document.Upstream,
        fleet: views.FleetView,
        me: str,
    ) -> str:
        """Returns `me`."""
        return me

    def slots(self, group: document.Group, fleet: views.FleetView) -> int:
        """Returns an equal part, and at least one."""
        return max(group.slots // max(len(fleet.members), 1), 1)

    def connections(self, group: document.Group, fleet: views.FleetView) -> int:
        """Returns an equal part, and at least one."""
        return max(group.connections // max(len(fleet.members), 1), 1)


def find_home(
    database: str, upstream: document.Upstream, fleet: views.FleetView
) -> str:
    """Returns the name of the proxy that is home to `upstream`.

    It is one of the live proxies of the upstream's zone; where that has none,
    one of the live proxies of all zones. "" where no proxy is live. A home
    moves as soon as it is suspected: being home is for efficiency only.
    """
    return _nearest(database, upstream, fleet, HOME_STATES)


def select_watchers(
    database: document.Database, fleet: views.FleetView
) -> tuple[str, ...]:
    """Returns the proxies whose majority may find a primary failing, by name.

    One for each upstream, of its zone where that has any, and others up to
    MIN_WATCHERS. A suspected proxy stays one of them: a proxy that reaches no
    other must not become the majority by itself.
    """
    names = {
        _nearest(database.name, upstream, fleet, WATCHER_STATES)
        for upstream in database.upstreams
    }
    names.discard("")
    missing = MIN_WATCHERS - len(names)
    if missing > 0:
        able = _names(fleet.members, WATCHER_STATES)
        others = (name for name in able if name not in names)
        names.update(rendezvous.sort_by_weight(database.name, others)[:missing])
    return tuple(sorted(names))


def watched_databases(
    databases: Iterable[document.Database],
    fleet: views.FleetView,
    name: str,
    placed: HomeAssignment | None = None,
) -> list[document.Database]:
    """Returns the databases that `name` watches or has an upstream of."""
    chosen = placed or SingleHome()
    return [
        database
        for database in databases
        if name in select_watchers(database, fleet)
        or any(
            chosen.find_home(database.name, member, fleet, name) == name
            for member in database.upstreams
        )
    ]


def _nearest(
    database: str,
    upstream: document.Upstream,
    fleet: views.FleetView,
    states: frozenset[views.MemberState],
) -> str:
    near = _names(fleet.by_zone.get(upstream.zone, ()), states)
    names = near or _names(fleet.members, states)
    return rendezvous.pick_highest(f"{database}/{upstream.name}", names)


def _names(
    members: Iterable[views.Member], states: frozenset[views.MemberState]
) -> list[str]:
    return [member.name for member in members if member.state in states]
