"""Replica sets as this host sees them."""

from __future__ import annotations

import dataclasses

from fescueshunt.core import filters, position, sessions

# Without a lease a host serves reads at a primary for this long after two
# members told it of no higher term; a promoter waits as long after its fence.
CONFIRMATION_TTL_S = 0.3
NEVER = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """What an upstream wrote about itself in the platform's store.

    Attributes:
      upstream: its id, new for each backend that comes.
      database: its replica set.
      slots: how many statements it runs at once.
      draining: whether it is leaving.
      role: what it takes itself for.
      listed: whether the entry is still there.
      leaving_at: when this host learned that it is leaving, or None.
      born_ms: the start of its process, Unix milliseconds; 0 if not told.
    """

    upstream: str
    database: str
    address: str
    zone: str
    slots: int
    draining: bool
    role: sessions.ReplicaRole
    started_ms: int = 0
    listed: bool = True
    draining_since: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class MemberView:
    """A member of a replica set.

    Attributes:
      status: its last word, or None.
      asked_at: when that was asked for; seconds, this host's clock.
      failing_since: the first of the calls in a row that failed, or None.
      stalled_since: since when a write is unanswered, or None.
    """

    entry: UpstreamEntry
    status: sessions.ReplicaStatus | None
    requested_at: float
    failing_since: float | None
    stalled_since: float | None = None

    @property
    def upstream(self) -> str:
        """Its id."""
        return self.entry.upstream


@dataclasses.dataclass(frozen=True, slots=True)
class PositionSample:
    """All commits acknowledged by `at` stand at or before `end`."""

    at: float
    end: position.Position


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaSetView(filters.Item):
    """A replica set.

    Attributes:
      members: those that serve or may serve.
      primary: the id of the primary, "" if unknown or being replaced.
      term: the highest that is known.
      confirmed_until: until then `primary` is certain to be the only one.
      is_moving: whether the primary is being replaced.
      samples: oldest first.
    """

    database: str
    members: tuple[MemberView, ...]
    primary: str
    term: int
    confirmed_until: float
    is_moving: bool
    samples: tuple[PositionSample, ...]

    def member(self, upstream: str) -> MemberView | None:
        """Returns the member with that id, or None."""
        for member in self.members:
            if member.upstream == upstream:
                return member
        return None

    def is_confirmed(self, now: float) -> bool:
        """Tells whether the primary is certain to be the only one now."""
        return bool(self.primary) and now < self.confirmed_until

    def position_as_of(self, moment: float) -> position.Position | None:
        """Returns a position that covers every commit acked by `moment`.

        The oldest such position, so that most replicas hold it; None if none
        is known.
        """
        for sample in self.samples:
            if sample.at >= moment:
                return sample.end
        return None
