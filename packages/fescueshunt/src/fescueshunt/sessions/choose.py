"""Which upstream runs a statement, and the log position that it needs there."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import rendezvous

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fescueshunt.core import identity, position, replica_sets
    from fescueshunt.sessions import items, pool

# What a statement at the primary, or in another zone, counts as much as.
PRIMARY_PENALTY = 0.6
FAR_PENALTY = 0.3
# A leaving upstream takes no new work from this long after the news.
LEAVING_GRACE_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """An upstream that may run a statement, and the position it needs."""

    upstream: str
    since: position.Position | None


class Placement(abc.ABC):
    """Orders the upstreams that may run a statement."""

    @abc.abstractmethod
    def choices(
        self,
        work: items.Work,
        view: replica_sets.ReplicaSetView,
        pools: Mapping[str, pool.Pool],
        now: float,
    ) -> list[Choice]:
        """Returns the upstreams that may run `work` now, the best first."""

    @abc.abstractmethod
    def permanent(
        self, view: replica_sets.ReplicaSetView
    ) -> Mapping[str, bool]:
        """Tells of each member whether a connection to it is always kept."""


class LeastLoaded(Placement):
    """Replicas before the primary, the least busy first, then the nearest.

    A host keeps connections to the primary and to one replica; to others it
    opens them by need. So most connections of a replica are free when many
    hosts start at the same moment.
    """

    def __init__(self, me: identity.Identity) -> None:
        self._me = me.name
        self._zone = me.zone

    def permanent(
        self, view: replica_sets.ReplicaSetView
    ) -> Mapping[str, bool]:
        """Tells of each member whether a connection to it is always kept."""
        near = [
            member.upstream
            for member in view.members
            if member.upstream != view.primary
            and member.entry.zone == self._zone
            and _takes_work(member)
        ]
        able = near or [
            member.upstream
            for member in view.members
            if member.upstream != view.primary and _takes_work(member)
        ]
        chosen = rendezvous.pick_highest(self._me, able)
        return {
            member.upstream: member.upstream in (view.primary, chosen)
            for member in view.members
        }

    def choices(
        self,
        work: items.Work,
        view: replica_sets.ReplicaSetView,
        pools: Mapping[str, pool.Pool],
        now: float,
    ) -> list[Choice]:
        """Returns the upstreams that may run `work` now, the best first."""
        if work.needs_primary:
            return _at_primary(work, view, now)
        since = needed_position(work, view)
        if since is None:
            return _at_primary(work, view, now)
        able = [
            member
            for member in view.members
            if _takes_work(member) and member.upstream not in work.avoid
        ]
        healthy = [m for m in able if m.failing_since is None]
        ordered = sorted(
            healthy or able,
            key=lambda member: self._load(member, view, pools),
        )
        return [Choice(member.upstream, since) for member in ordered]

    def _load(
        self,
        member: replica_sets.MemberView,
        view: replica_sets.ReplicaSetView,
        pools: Mapping[str, pool.Pool],
    ) -> float:
        running = pools[member.upstream].running
        load = running / max(member.entry.slots, 1)
        if member.upstream == view.primary:
            load += PRIMARY_PENALTY
        if member.entry.zone != self._zone:
            load += FAR_PENALTY
        return load


def needed_position(
    work: items.Work, view: replica_sets.ReplicaSetView
) -> position.Position | None:
    """Returns a position with every commit that a read has to see.

    None if no such position is known yet.
    """
    moment = work.since_at - work.route.max_age_s
    found = view.position_as_of(moment)
    if found is None or work.own_commit is None:
        return found
    return max(found, work.own_commit)


def _at_primary(
    work: items.Work, view: replica_sets.ReplicaSetView, now: float
) -> list[Choice]:
    member = view.member(view.primary)
    if member is None or view.primary in work.avoid:
        return []
    if not _takes_work(member) and not _is_leaving(member, now):
        return []
    if (work.opens or not work.writes) and not view.is_confirmed(now):
        return []
    return [Choice(view.primary, None)]


def _takes_work(member: replica_sets.MemberView) -> bool:
    return member.entry.listed and not member.entry.draining


def _is_leaving(member: replica_sets.MemberView, now: float) -> bool:
    """A leaving primary serves a while, until another has been promoted."""
    draining_since = member.entry.draining_since
    return draining_since is not None and now - draining_since < LEAVING_GRACE_S
