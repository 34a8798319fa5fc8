"""Tracks whether a host without a lease would have seen a failover begin.

A failover fences all members but one, and waits longer than CONFIRMATION_TTL_S
before it calls a promotion. Later a fence may end before the promotion is in
force, as a member restarts or a late RESUME reaches it, and the member's status
does not show that it was fenced. The status of two members therefore confirms a
primary only if this host has seen such a pair in every period of that length
since it last held a lease: one of the pairs then comes from within the fence.
After a gap, all members must report, as the fenced one to be promoted is among
them.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import replica_sets, sessions

if TYPE_CHECKING:
    from collections.abc import Collection

    from fescueshunt.core import leadership, store_items
    from fescueshunt.replicas import primary_state

# A host that keeps its lease for this long has acknowledged the failover whose
# fence it saw, or the attempt has ended.
FENCE_MEMORY_S = 10.0


@dataclasses.dataclass(slots=True)
class StatusChain:
    """What a host knows of the fences of one replica set.

    Attributes:
      lease_until: the time until which a failover would wait for this host's
        lease, unless the host has acknowledged it.
      seen_until: the time until which the status of members would have shown a
        fence before the promotion is called.
      fence_term: the highest term of a fence that was seen and whose end is not
        known; 0 if there is none. A primary of a lower term may have been
        replaced.
      fence_seen_at: when such a fence was last seen.
    """

    lease_until: float = replica_sets.NEVER
    seen_until: float = replica_sets.NEVER
    fence_term: int = 0
    fence_seen_at: float = replica_sets.NEVER

    @property
    def known_until(self) -> float:
        """Until when no promotion is called without this host's knowledge."""
        return max(self.lease_until, self.seen_until)

    def update_lease(
        self, item: store_items.LeaseView, *, is_failing_over: bool
    ) -> None:
        """Records the validity of this host's lease.

        A lease that was lost early still counts, because a failover waits
        until it could have expired.
        """
        if item.lease or item.valid_until:
            self.lease_until = item.valid_until
        is_steady = item.at < item.valid_until and not is_failing_over
        if is_steady and item.at - self.fence_seen_at > FENCE_MEMORY_S:
            self.fence_term = 0

    def record_leadership(
        self,
        record: leadership.Record,
        members: Collection[primary_state.TrackedMember],
        now: float,
        *,
        has_lease: bool,
    ) -> None:
        """Records a new leadership record.

        The record of a primary that is read under a valid lease says how a
        failover has ended. A status that was just requested may show the next.
        """
        if record.is_failing_over:
            self._see_fence(record.term + 1, now)
        elif has_lease:
            self.fence_term = 0
            for member in members:
                age_s = now - member.requested_at
                if age_s < replica_sets.CONFIRMATION_TTL_S:
                    self._see_fence(member.status.paused_term, now)

    def record_status(
        self,
        member: primary_state.TrackedMember,
        published: primary_state.PrimaryState,
        members: Collection[primary_state.TrackedMember],
        now: float,
        *,
        has_silent_members: bool,
    ) -> None:
        """Records the status that a member has just reported.

        Args:
          member: the member.
          published: the primary as it was known before.
          members: all members of the replica set.
          now: the time on this host's clock, in seconds.
          has_silent_members: whether former members may still run.
        """
        status = member.status
        is_known_primary = member.entry.upstream == published.primary
        self._see_fence(status.paused_term, now)
        if is_known_primary and status.role is sessions.ReplicaRole.REPLICA:
            self._see_fence(published.term + 1, now)
        requested = sorted((m.requested_at for m in members), reverse=True)
        needed = replica_sets.COMMIT_MEMBERS
        if now >= self.known_until:
            needed = len(requested)
            if has_silent_members:
                return
        if len(requested) >= max(needed, replica_sets.COMMIT_MEMBERS):
            seen_until = requested[needed - 1] + replica_sets.CONFIRMATION_TTL_S
            self.seen_until = max(self.seen_until, seen_until)

    def confirm(
        self, by_status: primary_state.PrimaryState
    ) -> primary_state.PrimaryState:
        """Returns `by_status`, confirmed only as far as fences are known."""
        confirmed_until = min(by_status.confirmed_until, self.known_until)
        if by_status.term < self.fence_term:
            confirmed_until = replica_sets.NEVER
        return dataclasses.replace(by_status, confirmed_until=confirmed_until)

    def _see_fence(self, term: int, now: float) -> None:
        if term:
            self.fence_term = max(self.fence_term, term)
            self.fence_seen_at = now
