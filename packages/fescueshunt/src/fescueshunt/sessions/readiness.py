"""Whether this host takes new sessions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    process,
    replica_sets,
    routes,
    session_items,
    store_items,
)
from fescueshunt.sessions import items

if TYPE_CHECKING:
    from collections.abc import Iterator

# A host that knows routes and upstreams but reaches too few of them says that
# it is ready after this long, as no other host may reach more.
PATIENCE_S = 2.0
CUT_OFF_AFTER_S = 0.3
# A lease is renewed more than twice as often.
LEASE_LATE_S = 0.9
CUT_OFF = "cut off"


class Readiness(filters.Filter):
    """Ready once routes are in force and every replica set has a primary.

    A host that can serve says so, also while the platform's store is away. One
    that reaches neither the store nor most upstreams is cut off: clients fare
    better with another.
    """

    def __init__(self) -> None:
        self._has_routes = False
        self._is_stopping = False
        self._views: dict[str, replica_sets.ReplicaSetView] = {}
        self._known_at: float | None = None
        self._last: bool | None = None
        self._renewed_at = replica_sets.NEVER

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields whether this host is ready when that changes."""
        match item:
            case routes.RoutesView():
                self._has_routes = True
            case replica_sets.ReplicaSetView():
                self._views[item.database] = item
                self._known_at = self._known_at or item.at
            case store_items.LeaseView():
                self._renewed_at = item.valid_until - item.ttl_s
            case process.StopAsked():
                self._is_stopping = True
            case filters.Tick():
                pass
            case _:
                yield item
                return
        yield item
        yield from self._publish(item.at)

    def _publish(self, now: float) -> Iterator[filters.Item]:
        reason = self._missing(now)
        ready = not reason
        if ready != self._last:
            self._last = ready
            yield items.ReadinessView(now, ready, reason)
            details = {"ready": ready, "reason": reason}
            yield session_items.LogDecision(now, "readiness", "", details)

    def _is_cut_off(self, now: float) -> bool:
        if now < self._renewed_at + LEASE_LATE_S or not self._views:
            return False
        members = [m for view in self._views.values() for m in view.members]
        unreachable = sum(_is_unreachable(member, now) for member in members)
        return unreachable * 2 > len(members)

    def _missing(self, now: float) -> str:
        if self._is_stopping:
            return "stopping"
        if not self._has_routes:
            return "no routes"
        if self._known_at is None:
            return "no upstreams"
        if self._is_cut_off(now):
            return CUT_OFF
        if self._last or now - self._known_at > PATIENCE_S:
            return ""
        if all(view.is_confirmed(now) for view in self._views.values()):
            return ""
        return "no primary"


def _is_unreachable(member: replica_sets.MemberView, now: float) -> bool:
    since = member.failing_since
    return since is not None and now - since > CUT_OFF_AFTER_S
