"""Repairs members that a failover left paused or with an outdated role.

The failover may be one of this host's own or one of an earlier holder of the
failover duty.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import session_items, sessions

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Mapping

    from fescueshunt.core import filters, replica_sets

CHECK_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 0.6
# How long the members are checked after a change of primary; a member that
# needs no repair is not checked again.
REPAIR_WINDOW_S = 15.0


class ReplicaRepair:
    """Checks and repairs the replicas of databases whose primary changed."""

    def __init__(self) -> None:
        self._next_check_at = 0.0
        self._check_until: dict[str, float] = {}
        self._last_states: dict[str, tuple[str, bool]] = {}
        self._verified: dict[str, set[str]] = {}
        self._statuses: dict[str, sessions.ReplicaStatus] = {}

    def record_status(self, item: session_items.UpstreamCallCompleted) -> None:
        """Records the status in a member's reply, if it has one."""
        if item.reply is not None and item.reply.status is not None:
            self._statuses[item.upstream] = item.reply.status

    def tick(
        self,
        views: Mapping[str, replica_sets.ReplicaSetView],
        active_databases: Collection[str],
        now: float,
    ) -> Iterator[filters.Item]:
        """Yields calls to the replicas that are not yet verified.

        Args:
          views: The replica sets by database.
          active_databases: The databases with a failover attempt in progress.
          now: This host's clock, in seconds.
        """
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        for database, view in views.items():
            state = (view.primary, view.is_failing_over)
            if self._last_states.get(database) != state:
                self._last_states[database] = state
                self._check_until[database] = now + REPAIR_WINDOW_S
                self._verified[database] = set()
                for member in view.members:
                    self._statuses.pop(member.upstream, None)
            is_changing = (
                view.is_failing_over
                or database in active_databases
                or not view.primary
            )
            if (
                not is_changing
                and now < self._check_until[database]
                and view.term
            ):
                yield from self._check_members(view, now)

    def _check_members(
        self, view: replica_sets.ReplicaSetView, now: float
    ) -> Iterator[filters.Item]:
        verified = self._verified[view.database]
        for member in view.members:
            upstream = member.upstream
            if upstream == view.primary or upstream in verified:
                continue
            status = self._statuses.pop(upstream, None)
            call = _repair_call(status, view.term)
            if call is None:
                verified.add(upstream)
                continue
            yield session_items.CallUpstream(
                now, upstream, call, now + CALL_TIMEOUT_S
            )


def _repair_call(
    status: sessions.ReplicaStatus | None, term: int
) -> sessions.UpstreamCall | None:
    """Returns the call to send to a replica, or None if it needs no repair."""
    if status is None:
        return sessions.GetStatus()
    if status.role is sessions.ReplicaRole.PRIMARY:
        return sessions.StepDown(term)
    if status.paused_term:
        return sessions.Resume()
    return None
