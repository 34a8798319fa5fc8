"""The state of one replica set as this host tracks it.

A commit is acknowledged once the primary and one replica have it. At least two
members therefore have every acknowledged commit, and any group of all members
but one contains at least one of them.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import replica_sets
from fescueshunt.replicas import primary_state, status_chain

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fescueshunt.core import leadership, position

MAX_SAMPLES = 64


@dataclasses.dataclass(slots=True)
class ReplicaSetState:
    """The tracked state of a replica set.

    Attributes:
      members: the members by upstream id.
      former: the former members that may have acknowledged commits which no
        member but the primary is known to hold.
      watched_since: since when this host has read all changes of entries.
      record: the leadership record in the store, or None.
      published: the primary in the last published view.
      term: the highest known term.
      samples: position samples, oldest first.
      chain: what this host knows of fences.
    """

    members: dict[str, primary_state.TrackedMember] = dataclasses.field(
        default_factory=dict
    )
    former: tuple[replica_sets.FormerMember, ...] = ()
    watched_since: float = replica_sets.NEVER
    record: leadership.Record | None = None
    published: primary_state.PrimaryState = primary_state.NO_PRIMARY
    term: int = 0
    samples: collections.deque[replica_sets.PositionSample] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    chain: status_chain.StatusChain = dataclasses.field(
        default_factory=status_chain.StatusChain
    )

    def add_sample(self, at: float, end: position.Position) -> None:
        """Adds a position that covers all commits acknowledged by `at`."""
        if self.samples and at <= self.samples[-1].at:
            return
        if self.samples:
            end = max(end, self.samples[-1].end)
        self.samples.append(replica_sets.PositionSample(at, end))

    def sample_quorum(self, now: float) -> None:
        """Adds a position sample from the newest status of enough members.

        The highest position among them covers every acknowledged commit.
        """
        reporting = sorted(
            (
                member
                for member in self.members.values()
                if member.status is not None
            ),
            key=lambda member: member.requested_at,
            reverse=True,
        )
        needed = self._quorum_size(reporting, now)
        if len(reporting) >= needed:
            newest = reporting[:needed]
            end = max(member.status.received for member in newest)
            self.add_sample(newest[-1].requested_at, end)

    def covered_by(
        self, upstream: str, received: position.Position, now: float
    ) -> tuple[replica_sets.FormerMember, ...]:
        """Returns the former members whose commits a member holds.

        A former member has acknowledged nothing since it was gone. A replica
        that holds all commits acknowledged by then holds those of the former
        member. The primary proves nothing: it holds every commit, and may be
        lost as well.

        Args:
          upstream: the member that has answered.
          received: the position up to which it holds the log.
          now: the time on this host's clock, in seconds.
        """
        primary = self.published.primary
        is_confirmed = bool(primary) and now < self.published.confirmed_until
        if not is_confirmed or upstream == primary:
            return ()
        return tuple(
            member for member in self.former if self._covers(received, member)
        )

    def _covers(
        self, received: position.Position, former: replica_sets.FormerMember
    ) -> bool:
        if former.gone_at is None:
            return False
        end = replica_sets.position_as_of(self.samples, former.gone_at)
        return end is not None and received >= end

    def _quorum_size(
        self, reporting: Sequence[primary_state.TrackedMember], now: float
    ) -> int:
        """Returns how many members have to report: all but one.

        For FORMER_MEMBER_TTL_S, former members count as members that do not
        report: they may still run, or have left with the only copy of a commit
        beside the primary's. The successor at the address of one has its log. A
        single status never suffices: this host may not know of every member.

        A host that has not watched the entries for long may not know of a
        former member, which may have left with the only copy of a commit beside
        the primary's. Without the primary, it needs one status more.
        """
        addresses = {member.entry.address for member in self.members.values()}
        missing_count = sum(
            now - former.unlisted_at <= replica_sets.FORMER_MEMBER_TTL_S
            and (former.may_run or former.address not in addresses)
            for former in self.former
            if not former.is_unknown
        )
        running = len(self.members) + missing_count
        commit_members = replica_sets.COMMIT_MEMBERS
        needed = max(running - commit_members + 1, commit_members)
        by_status = primary_state.from_status(reporting[:needed])
        is_confirmed = by_status.confirmed_until > replica_sets.NEVER
        watched_s = now - self.watched_since
        if is_confirmed or watched_s >= replica_sets.FORMER_MEMBER_TTL_S:
            return needed
        return needed + 1
