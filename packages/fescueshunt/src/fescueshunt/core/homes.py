"""Assignment of upstreams to home proxies and of databases to watchers.

The home of an upstream holds its connection pool and its request queue; other
proxies forward requests to the home. The watchers of a database monitor its
group and vote on whether its primary has failed.
"""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from fescueshunt.core import document, rendezvous, views

if TYPE_CHECKING:
    from collections.abc import Iterable

# While the proxies' fleet views differ, up to three proxies may act as the home
# of the same upstream, each with a connection pool of its own.
CONNECTION_SHARE = 1 / 3
MIN_WATCHERS = 3
HOME_STATES = frozenset({views.MemberState.LIVE})
WATCHER_STATES = frozenset({views.MemberState.LIVE, views.MemberState.SUSPECT})


class HomeAssignment(abc.ABC):
    """Policy that assigns each upstream to its home proxy."""

    @abc.abstractmethod
    def find_home(
        self,
        database: str,
        upstream: document.Upstream,
        fleet: views.FleetView,
        local_name: str,
    ) -> str:
        """Returns the name of the upstream's home.

        Args:
          database: the name of the upstream's database.
          upstream: the upstream.
          fleet: the fleet view that the assignment is based on.
          local_name: the name of the proxy that looks up the home.
        """

    @abc.abstractmethod
    def slots(self, group: document.Group, fleet: views.FleetView) -> int:
        """Returns how many requests a home runs on an upstream at once."""

    @abc.abstractmethod
    def connections(self, group: document.Group, fleet: views.FleetView) -> int:
        """Returns the maximum number of connections that a home opens."""


class SingleHome(HomeAssignment):
    """Assigns each upstream to one proxy; all others forward to it.

    Results are cached until the fleet view changes.
    """

    def __init__(self) -> None:
        self._cached_fleet = views.FleetView(0.0, ())
        self._cache: dict[tuple[str, str, str], str] = {}

    def find_home(
        self,
        database: str,
        upstream: document.Upstream,
        fleet: views.FleetView,
        local_name: str,
    ) -> str:
        """Returns the home that rendezvous hashing selects."""
        if fleet is not self._cached_fleet:
            self._cached_fleet = fleet
            self._cache = {}
        key = (database, upstream.name, upstream.zone)
        if key not in self._cache:
            self._cache[key] = find_home(database, upstream, fleet)
        return self._cache[key]

    def slots(self, group: document.Group, fleet: views.FleetView) -> int:
        """Returns all slots of the upstream."""
        return group.slots

    def connections(self, group: document.Group, fleet: views.FleetView) -> int:
        """Returns a share that leaves connections for overlapping homes."""
        return max(int(group.connections * CONNECTION_SHARE), 1)


class SplitPools(HomeAssignment):
    """Makes every proxy a home with an equal share of each upstream.

    This is a baseline for comparisons with `SingleHome`.
    """

    def find_home(
        self,
        database: str,
        upstream: document.Upstream,
        fleet: views.FleetView,
        local_name: str,
    ) -> str:
        """Returns `local_name`, as every proxy is a home."""
        return local_name

    def slots(self, group: document.Group, fleet: views.FleetView) -> int:
        """Returns an equal share of the slots, at least one."""
        return max(group.slots // max(len(fleet.members), 1), 1)

    def connections(self, group: document.Group, fleet: views.FleetView) -> int:
        """Returns an equal share of the connections, at least one."""
        return max(group.connections // max(len(fleet.members), 1), 1)


def find_home(
    database: str, upstream: document.Upstream, fleet: views.FleetView
) -> str:
    """Returns the name of the home of `upstream`, or "" if no proxy is live.

    The home is one of the live proxies in the upstream's zone or, if that zone
    has none, one of the live proxies of all zones. An upstream gets another
    home as soon as its home is suspected. That is safe, as correctness does not
    depend on the assignment.
    """
    return _select_proxy(database, upstream, fleet, HOME_STATES)


def select_watchers(
    database: document.Database, fleet: views.FleetView
) -> tuple[str, ...]:
    """Returns the sorted names of the proxies that watch `database`.

    A majority of the watchers can declare the primary failed. Each upstream
    contributes one watcher, from its own zone if that zone has a proxy; if that
    gives fewer than MIN_WATCHERS, other proxies are added. A suspected proxy
    remains a watcher, so that a proxy that is cut off from all others does not
    become a majority of one.
    """
    names = {
        _select_proxy(database.name, upstream, fleet, WATCHER_STATES)
        for upstream in database.upstreams
    }
    names.discard("")
    missing = MIN_WATCHERS - len(names)
    if missing > 0:
        eligible = _names_in_states(fleet.members, WATCHER_STATES)
        others = (name for name in eligible if name not in names)
        names.update(rendezvous.sort_by_weight(database.name, others)[:missing])
    return tuple(sorted(names))


def watched_databases(
    databases: Iterable[document.Database],
    fleet: views.FleetView,
    name: str,
    assignment: HomeAssignment | None = None,
) -> list[document.Database]:
    """Returns the databases whose group status the proxy `name` needs.

    These are the databases that the proxy watches and those for which it is
    the home of an upstream. The assignment defaults to `SingleHome`.
    """
    policy = assignment or SingleHome()
    return [
        database
        for database in databases
        if name in select_watchers(database, fleet)
        or any(
            policy.find_home(database.name, upstream, fleet, name) == name
            for upstream in database.upstreams
        )
    ]


def _select_proxy(
    database: str,
    upstream: document.Upstream,
    fleet: views.FleetView,
    states: frozenset[views.MemberState],
) -> str:
    """Returns the name of a proxy in one of `states`, or "" if there is none.

    Proxies in the upstream's zone are preferred.
    """
    in_zone = _names_in_states(fleet.by_zone.get(upstream.zone, ()), states)
    names = in_zone or _names_in_states(fleet.members, states)
    return rendezvous.pick_highest(f"{database}/{upstream.name}", names)


def _names_in_states(
    members: Iterable[views.Member], states: frozenset[views.MemberState]
) -> list[str]:
    return [member.name for member in members if member.state in states]
