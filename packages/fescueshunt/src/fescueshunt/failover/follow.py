"""Filter that makes all upstreams of a group follow the current primary."""

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
RETRY_INTERVAL_S = 0.3
NON_HOME_DELAY_S = 0.6


@dataclasses.dataclass(slots=True)
class NonFollower:
    """An upstream that does not follow the current primary.

    Attributes:
      since: when this was first observed; local clock, seconds.
      called_at: when the last follow call was sent to it; local clock, seconds.
    """

    since: float
    called_at: float = float("-inf")


@dataclasses.dataclass(slots=True)
class FollowerReconcilerState:
    """State of the filter.

    `groups` is keyed by database name, `non_followers` by the names of database
    and upstream. `promoted_databases` are those whose primary this proxy has
    promoted.
    """

    settings: document.Document = document.Document()
    fleet: views.FleetView = views.FleetView(0.0, ())
    groups: dict[str, views.GroupView] = dataclasses.field(default_factory=dict)
    promoted_databases: set[str] = dataclasses.field(default_factory=set)
    non_followers: dict[tuple[str, str], NonFollower] = dataclasses.field(
        default_factory=dict
    )


class FollowerReconciler(filters.Filter):
    """Demotes former primaries and points replicas at the current primary.

    The home proxy of an upstream and the proxy that promoted the primary send
    the follow call at once. The other watchers send it only if the upstream
    still does not follow after NON_HOME_DELAY_S.
    """

    def __init__(self, local_proxy: identity.Identity) -> None:
        self._local_proxy = local_proxy
        self._state = FollowerReconcilerState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields every item unchanged, and follow calls to upstreams."""
        yield item
        match item:
            case views.Promotion():
                self._state.promoted_databases.add(item.database)
            case views.GroupView():
                self._state.groups[item.database] = item
                yield from self._call_non_followers(item, item.at)
            case views.SettingsView():
                self._state.settings = item.document
            case views.FleetView():
                self._state.fleet = item
            case filters.Tick():
                for view in self._state.groups.values():
                    yield from self._call_non_followers(view, item.at)

    def _call_non_followers(
        self, view: views.GroupView, now: float
    ) -> Iterator[filters.Item]:
        database = self._state.settings.database(view.database)
        primary = database.find(view.primary) if database else None
        if primary is None:
            return
        for state in view.states:
            key = (view.database, state.name)
            if not needs_follow_call(state, view, primary):
                self._state.non_followers.pop(key, None)
                continue
            non_follower = self._state.non_followers.setdefault(
                key, NonFollower(now)
            )
            if self._is_call_due(database, state.name, non_follower, now):
                non_follower.called_at = now
                yield _follow_call(now, database, state.name, view, primary)

    def _is_call_due(
        self,
        database: document.Database,
        name: str,
        non_follower: NonFollower,
        now: float,
    ) -> bool:
        if now - non_follower.called_at < RETRY_INTERVAL_S:
            return False
        if database.name in self._state.promoted_databases:
            return True
        member = database.find(name)
        if member is None:
            return False
        home = homes.find_home(database.name, member, self._state.fleet)
        return (
            home == self._local_proxy.name
            or now - non_follower.since >= NON_HOME_DELAY_S
        )


def needs_follow_call(
    state: views.UpstreamState,
    view: views.GroupView,
    primary: document.Upstream,
) -> bool:
    """Returns whether a reachable upstream does not follow `primary`.

    An upstream that has promised a higher term than the view's is excluded.
    """
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


def _follow_call(
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
