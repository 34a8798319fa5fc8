"""States of the specified system: three upstreams, ballots, one request id.

All states are immutable tuples, so that the checker can hash them.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

UPSTREAMS = (0, 1, 2)
MAJORITY = 2
FIRST_TERM = 1


class Kind(enum.IntEnum):
    """What a log entry holds."""

    PROMOTION = 0
    WRITE = 1
    TOMBSTONE = 2
    OTHER = 3


class Role(enum.IntEnum):
    """What an upstream does."""

    PRIMARY = 0
    REPLICA = 1
    FENCED = 2


class Entry(NamedTuple):
    """One log entry."""

    term: int
    kind: Kind


class Place(NamedTuple):
    """The term and the index (from 1) of an entry."""

    term: int
    index: int


class Upstream(NamedTuple):
    """One member of the group."""

    promised: int
    term: int
    role: Role
    log: tuple[Entry, ...] = ()

    @property
    def last(self) -> Place:
        """The place of the last entry."""
        return Place(self.log[-1].term if self.log else 0, len(self.log))

    def holds(self, place: Place) -> bool:
        """Tells whether the entry at `place` is part of this log."""
        if place.index == 0:
            return True
        if place.index > len(self.log):
            return False
        return self.log[place.index - 1].term == place.term

    def has(self, kind: Kind) -> bool:
        """Tells whether the log has an entry of `kind`."""
        return any(entry.kind == kind for entry in self.log)


class Ballot(NamedTuple):
    """One proposal: who promised it with which last entry, and the choice."""

    votes: tuple[Place | None, ...] = (None, None, None)
    chosen: int | None = None

    @property
    def voters(self) -> list[int]:
        """The upstreams that promised."""
        return [u for u in UPSTREAMS if self.votes[u] is not None]


class Stage(enum.IntEnum):
    """How far a call of a proxy on behalf of the request has come.

    SENT may still arrive at any time. COMMITTED waits for confirmation. TOLD
    is what the caller has been told.
    """

    IDLE = 0
    SENT = 1
    COMMITTED = 2
    TOLD = 3


class Attempt(NamedTuple):
    """A write or a settlement of the one request id, by one proxy.

    Attributes:
      target: the upstream it was sent to, in term `term`.
      place: what a majority has to hold before the caller is told.
      holders: a bit for each upstream that was seen to hold `place`.
      ran: whether the ledger says that the request ran.
      overtaken: ghost; whether it committed after a later promotion.
    """

    stage: Stage = Stage.IDLE
    target: int = 0
    term: int = 0
    place: Place = Place(0, 0)
    holders: int = 0
    ran: bool = False
    overtaken: bool = False


class State(NamedTuple):
    """The whole system.

    Attributes:
      ballots: one for each term above the first.
      attempts: the writes, then the settlements, under the one request id.
    """

    upstreams: tuple[Upstream, ...]
    ballots: tuple[Ballot, ...]
    attempts: tuple[Attempt, ...]
