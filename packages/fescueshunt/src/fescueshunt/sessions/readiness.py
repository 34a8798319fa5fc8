"""The filter that decides whether this host accepts new sessions."""

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

# A host that knows routes and upstreams but reaches too few of them reports
# itself ready after this long, because other hosts may reach no more of them.
MAX_PRIMARY_WAIT_S = 2.0
MIN_UNREACHABLE_S = 0.3
# A host renews its lease more than twice in this time.
LEASE_RENEWAL_TIMEOUT_S = 0.9
# The reason of a `ReadinessView`, also in the log.
ISOLATED = "cut off"


class Readiness(filters.Filter):
    """Reports this host ready once it has routes and confirmed primaries.

    A host that can serve stays ready while the platform's store is unreachable.
    A host that reaches neither the store nor most upstreams is isolated and not
    ready, because clients are better served by another host.
    """

    def __init__(self) -> None:
        self._has_routes = False
        self._is_stopping = False
        self._views: dict[str, replica_sets.ReplicaSetView] = {}
        self._first_view_at: float | None = None
        self._last_ready: bool | None = None
        self._lease_renewed_at = replica_sets.NEVER

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the readiness of this host whenever it changes."""
        match item:
            case routes.RoutesView():
                self._has_routes = True
            case replica_sets.ReplicaSetView():
                self._views[item.database] = item
                self._first_view_at = self._first_view_at or item.at
            case store_items.LeaseView():
                self._lease_renewed_at = item.valid_until - item.ttl_s
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
        reason = self._not_ready_reason(now)
        ready = not reason
        if ready != self._last_ready:
            self._last_ready = ready
            yield items.ReadinessView(now, ready, reason)
            details = {"ready": ready, "reason": reason}
            yield session_items.LogDecision(now, "readiness", "", details)

    def _is_isolated(self, now: float) -> bool:
        if (
            now < self._lease_renewed_at + LEASE_RENEWAL_TIMEOUT_S
            or not self._views
        ):
            return False
        members = [m for view in self._views.values() for m in view.members]
        unreachable = sum(_is_unreachable(member, now) for member in members)
        return unreachable * 2 > len(members)

    def _not_ready_reason(self, now: float) -> str:
        if self._is_stopping:
            return "stopping"
        if not self._has_routes:
            return "no routes"
        if self._first_view_at is None:
            return "no upstreams"
        if self._is_isolated(now):
            return ISOLATED
        if self._last_ready or now - self._first_view_at > MAX_PRIMARY_WAIT_S:
            return ""
        if all(view.is_confirmed(now) for view in self._views.values()):
            return ""
        return "no primary"


def _is_unreachable(member: replica_sets.MemberView, now: float) -> bool:
    since = member.failing_since
    return since is not None and now - since > MIN_UNREACHABLE_S
