"""Undoes what a move left behind at upstreams, ours or an earlier holder's."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import session_items, sessions

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Mapping

    from fescueshunt.core import filters, replica_sets

EVERY_S = 0.5
CALL_TIMEOUT_S = 0.6
# After a change of primary each member is looked at until it is in order.
LOOK_FOR_S = 15.0


class Repair:
    """Looks after each database whose primary changed, for a while."""

    def __init__(self) -> None:
        self._due_at = 0.0
        self._until: dict[str, float] = {}
        self._seen: dict[str, tuple[str, bool]] = {}
        self._in_order: dict[str, set[str]] = {}
        self._statuses: dict[str, sessions.ReplicaStatus] = {}

    def hear(self, item: session_items.UpstreamCallCompleted) -> None:
        """Notes a member's status."""
        if item.reply is not None and item.reply.status is not None:
            self._statuses[item.upstream] = item.reply.status

    def tick(
        self,
        views: Mapping[str, replica_sets.ReplicaSetView],
        busy: Collection[str],
        now: float,
    ) -> Iterator[filters.Item]:
        """Yields calls to members that are not known to be in order."""
        if now < self._due_at:
            return
        self._due_at = now + EVERY_S
        for database, view in views.items():
            state = (view.primary, view.is_moving)
            if self._seen.get(database) != state:
                self._seen[database] = state
                self._until[database] = now + LOOK_FOR_S
                self._in_order[database] = set()
                for member in view.members:
                    self._statuses.pop(member.upstream, None)
            moving = view.is_moving or database in busy or not view.primary
            if not moving and now < self._until[database] and view.term:
                yield from self._look(view, now)

    def _look(
        self, view: replica_sets.ReplicaSetView, now: float
    ) -> Iterator[filters.Item]:
        in_order = self._in_order[view.database]
        for member in view.members:
            name = member.upstream
            if name == view.primary or name in in_order:
                continue
            status = self._statuses.pop(name, None)
            call = _call_for(status, view.term)
            if call is None:
                in_order.add(name)
                continue
            yield session_items.CallUpstream(
                now, name, call, now + CALL_TIMEOUT_S
            )


def _call_for(
    status: sessions.ReplicaStatus | None, term: int
) -> sessions.UpstreamCall | None:
    """Returns what to send to a replica, None if it is in order."""
    if status is None:
        return sessions.GetStatus()
    if status.role is sessions.ReplicaRole.PRIMARY:
        return sessions.StepDown(term)
    if status.paused_term:
        return sessions.Resume()
    return None
