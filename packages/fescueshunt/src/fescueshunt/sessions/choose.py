"""Selects the upstream that runs a statement.

A statement may also need the upstream to have applied a certain log position.
"""

from __future__ import annotations

import abc
import dataclasses
import random
from typing import TYPE_CHECKING

from fescueshunt.core import rendezvous

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fescueshunt.core import identity, position, replica_sets
    from fescueshunt.sessions import items, pool

# Added to the load of the primary, and to that of upstreams in other zones. The
# load is the number of calls that this host runs there, per slot.
PRIMARY_PENALTY = 0.6
CROSS_ZONE_PENALTY = 0.3
# The same where connections are lent: what is added to the time until a
# statement is expected to end, in seconds.
PRIMARY_PENALTY_S = 0.01
CROSS_ZONE_PENALTY_S = 0.01
CONGESTED_PENALTY_S = 0.2
# How far the expected time varies by chance, as a fraction.
SPREAD = 0.25
# A primary that is leaving its replica set accepts statements for this long
# after this host learned that it leaves.
LEAVING_GRACE_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may run a statement.

    Attributes:
      upstream: its id.
      min_position: the log position that the upstream must have applied before
        it runs the statement; None if there is no minimum.
    """

    upstream: str
    min_position: position.Position | None


class PlacementPolicy(abc.ABC):
    """Decides which upstreams may run a statement, and in which order."""

    @abc.abstractmethod
    def candidates(
        self,
        job: items.StatementJob,
        view: replica_sets.ReplicaSetView,
        pools: Mapping[str, pool.ConnectionPool],
        now: float,
    ) -> list[Candidate]:
        """Returns the upstreams that may run `job` now, the best one first."""

    @abc.abstractmethod
    def permanent_upstreams(
        self, view: replica_sets.ReplicaSetView
    ) -> Mapping[str, bool]:
        """Returns for each member whether one connection to it stays open."""


class LeastLoadedPolicy(PlacementPolicy):
    """Prefers the upstream with the lowest load.

    The load of the primary, and of upstreams in other zones, is raised by a
    penalty, so that replicas in the same zone are preferred.

    A host keeps permanent connections only to the primary and to one replica;
    it opens connections to other replicas on demand. Most connections of a
    replica are therefore free when many hosts start at the same time.
    """

    def __init__(
        self, own_identity: identity.Identity, rng: random.Random | None = None
    ) -> None:
        self._rng = rng or random.Random(own_identity.name)
        self._host_name = own_identity.name
        self._zone = own_identity.zone

    def permanent_upstreams(
        self, view: replica_sets.ReplicaSetView
    ) -> Mapping[str, bool]:
        """Returns for each member whether one connection to it stays open."""
        local_replicas = [
            member.upstream
            for member in view.members
            if member.upstream != view.primary
            and member.entry.zone == self._zone
            and _accepts_statements(member)
        ]
        eligible = local_replicas or [
            member.upstream
            for member in view.members
            if member.upstream != view.primary and _accepts_statements(member)
        ]
        preferred_replica = rendezvous.pick_highest(self._host_name, eligible)
        return {
            member.upstream: member.upstream
            in (view.primary, preferred_replica)
            for member in view.members
        }

    def candidates(
        self,
        job: items.StatementJob,
        view: replica_sets.ReplicaSetView,
        pools: Mapping[str, pool.ConnectionPool],
        now: float,
    ) -> list[Candidate]:
        """Returns the upstreams that may run `job` now, the best one first."""
        if job.needs_primary:
            return _primary_candidates(job, view, now)
        min_position = needed_position(job, view)
        if min_position is None:
            return _primary_candidates(job, view, now)
        eligible = [
            member
            for member in view.members
            if _accepts_statements(member)
            and member.upstream not in job.avoided_upstreams
        ]
        healthy = [m for m in eligible if m.failing_since is None]
        ordered = sorted(
            healthy or eligible,
            key=lambda member: self._cost(job, member, view, pools, now),
        )
        return [Candidate(member.upstream, min_position) for member in ordered]

    def _cost(
        self,
        job: items.StatementJob,
        member: replica_sets.MemberView,
        view: replica_sets.ReplicaSetView,
        pools: Mapping[str, pool.ConnectionPool],
        now: float,
    ) -> float:
        """Returns what a statement costs at a member; the lowest is best."""
        conn_pool = pools[member.upstream]
        if conn_pool.is_lent:
            return self._expected_s(job, member, view, conn_pool, now)
        return self._load(member, view, pools)

    def _expected_s(
        self,
        job: items.StatementJob,
        member: replica_sets.MemberView,
        view: replica_sets.ReplicaSetView,
        conn_pool: pool.ConnectionPool,
        now: float,
    ) -> float:
        """Returns when a statement is expected to end, with penalties.

        The expectation varies by chance, so that hosts that have heard the same
        don't all choose the same upstream.
        """
        expected_s = conn_pool.expected_now_s(now)
        expected_s *= self._rng.uniform(1 - SPREAD, 1 + SPREAD)
        if conn_pool.is_congested(job.rank.order, now):
            expected_s += CONGESTED_PENALTY_S
        if member.upstream == view.primary:
            expected_s += PRIMARY_PENALTY_S
        if member.entry.zone != self._zone:
            expected_s += CROSS_ZONE_PENALTY_S
        return expected_s

    def _load(
        self,
        member: replica_sets.MemberView,
        view: replica_sets.ReplicaSetView,
        pools: Mapping[str, pool.ConnectionPool],
    ) -> float:
        running = pools[member.upstream].running_calls
        load = running / max(member.entry.slots, 1)
        if member.upstream == view.primary:
            load += PRIMARY_PENALTY
        if member.entry.zone != self._zone:
            load += CROSS_ZONE_PENALTY
        return load


def needed_position(
    job: items.StatementJob, view: replica_sets.ReplicaSetView
) -> position.Position | None:
    """Returns a log position that covers every commit a read must see.

    Returns None if no such position is known yet.
    """
    moment = job.read_started_at - job.route.max_age_s
    needed = view.position_as_of(moment)
    if needed is None or job.own_commit_position is None:
        return needed
    return max(needed, job.own_commit_position)


def _primary_candidates(
    job: items.StatementJob, view: replica_sets.ReplicaSetView, now: float
) -> list[Candidate]:
    member = view.member(view.primary)
    if member is None or view.primary in job.avoided_upstreams:
        return []
    if not _accepts_statements(member) and not _is_within_leaving_grace(
        member, now
    ):
        return []
    if not view.is_confirmed(now):
        return []
    return [Candidate(view.primary, None)]


def _accepts_statements(member: replica_sets.MemberView) -> bool:
    return member.entry.listed and not member.entry.draining


def _is_within_leaving_grace(
    member: replica_sets.MemberView, now: float
) -> bool:
    """Returns whether `member` began to leave less than the grace period ago.

    A primary that is leaving serves during the grace period, until another
    upstream has been promoted.
    """
    draining_since = member.entry.draining_since
    return draining_since is not None and now - draining_since < LEAVING_GRACE_S
