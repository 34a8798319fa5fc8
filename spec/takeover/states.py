"""States of the specified system: three members, two holders, one reader.

Write 0 goes to the first primary, write 1 to a later one. All states are
immutable tuples, so that the checker can hash them.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

MEMBERS = (0, 1, 2)
FIRST_PRIMARY = 0
FIRST_TERM = 1


class Entry(NamedTuple):
    """One log entry: the term that it was committed in, and the write."""

    term: int
    write: int


class Place(NamedTuple):
    """The term and the index (from 1) of a last entry."""

    term: int
    index: int


class Member(NamedTuple):
    """One member of the replica set; `held` is the term of a pause, or 0."""

    term: int = FIRST_TERM
    leads: bool = False
    held: int = 0
    log: tuple[Entry, ...] = ()

    @property
    def end(self) -> Place:
        """The place of the last entry."""
        return Place(self.log[-1].term if self.log else 0, len(self.log))

    def has(self, write: int) -> bool:
        """Tells whether the log has `write`."""
        return any(entry.write == write for entry in self.log)


class Stage(enum.IntEnum):
    """How far an attempt has come."""

    IDLE = 0
    FENCING = 1
    ENDED = 2


class Attempt(NamedTuple):
    """One holder's attempt.

    Attributes:
      term: the term that it fences with.
      ends: the position of each member when it was fenced, or None.
      resumes: a bit for each member that a RESUME may still reach.
    """

    stage: Stage = Stage.IDLE
    term: int = 0
    ends: tuple[Place | None, ...] = (None, None, None)
    resumes: int = 0

    @property
    def fenced(self) -> list[int]:
        """The members that are fenced as far as the holder knows."""
        return [u for u in MEMBERS if self.ends[u] is not None]


class Reader(NamedTuple):
    """A host that may read at the first primary.

    Attributes:
      believes: whether its lease holds and it knows of no move.
      confirmed: whether members have confirmed the primary a moment ago.
    """

    believes: bool = True
    confirmed: bool = False


class State(NamedTuple):
    """The whole system.

    Attributes:
      duty: the token of the holder; it grows with each change.
      moving: whether the record says that the primary is being replaced.
      committed, acked: a bit for each write.
      late: ghost; a bit for each write that a replaced primary took.
      promotions: the tokens of the calls, in their order, those for other
        replica sets among them.
      restarts: how many replicas may still restart.
    """

    members: tuple[Member, ...]
    attempts: tuple[Attempt, ...]
    reader: Reader = Reader()
    duty: int = 1
    moving: bool = False
    committed: int = 0
    acked: int = 0
    late: int = 0
    promotions: tuple[int, ...] = ()
    restarts: int = 0


def newest_term(state: State) -> int:
    """Returns the highest term of any member."""
    return max(member.term for member in state.members)
