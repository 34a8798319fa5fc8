"""States of the specified system: three upstreams, ballots, one request id.

All states are immutable tuples, so that the model checker can hash them.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

UPSTREAMS = (0, 1, 2)
MAJORITY = 2
FIRST_TERM = 1


class Kind(enum.IntEnum):
    """The kind of a log entry."""

    PROMOTION = 0
    WRITE = 1
    TOMBSTONE = 2
    OTHER = 3


class Role(enum.IntEnum):
    """The role of an upstream in its group."""

    PRIMARY = 0
    REPLICA = 1
    FENCED = 2


class Entry(NamedTuple):
    """A log entry, with the term of the primary that appended it."""

    term: int
    kind: Kind


class Position(NamedTuple):
    """The position of a log entry: its term, and its index from 1."""

    term: int
    index: int


class Upstream(NamedTuple):
    """The state of one upstream.

    Attributes:
      promised: the highest term that it has promised.
      term: the term that it serves or follows.
      role: whether it is primary, replica or fenced.
      log: its log entries, oldest first.
    """

    promised: int
    term: int
    role: Role
    log: tuple[Entry, ...] = ()

    @property
    def last(self) -> Position:
        """The position of the last entry; index 0 if the log is empty."""
        return Position(self.log[-1].term if self.log else 0, len(self.log))

    def holds(self, position: Position) -> bool:
        """Returns whether the log contains the entry at `position`."""
        if position.index == 0:
            return True
        if position.index > len(self.log):
            return False
        return self.log[position.index - 1].term == position.term

    def has(self, kind: Kind) -> bool:
        """Returns whether the log contains an entry of `kind`."""
        return any(entry.kind == kind for entry in self.log)


class Ballot(NamedTuple):
    """One ballot.

    Attributes:
      votes: for each upstream, the position of its last entry when it promised
        the ballot; None if it has not.
      chosen: the upstream chosen for promotion; None before the choice.
    """

    votes: tuple[Position | None, ...] = (None, None, None)
    chosen: int | None = None

    @property
    def voters(self) -> list[int]:
        """The upstreams that promised the ballot."""
        return [
            upstream
            for upstream in UPSTREAMS
            if self.votes[upstream] is not None
        ]


class Stage(enum.IntEnum):
    """The progress of an attempt.

    SENT: the call may reach the upstream at any later time. COMMITTED: the
    proxy waits for confirmation by the group. ANSWERED: the caller has
    received the answer.
    """

    IDLE = 0
    SENT = 1
    COMMITTED = 2
    ANSWERED = 3


class Attempt(NamedTuple):
    """A write or an outcome query of the one request id, by one proxy.

    Attributes:
      stage: the progress of the attempt.
      target: the upstream to which it was sent.
      term: the term of `target` when it was sent.
      position: the entry that a majority must hold before the caller is
        answered.
      holders: bit mask of the upstreams observed to hold `position`.
      ran: whether the request ran, according to the ledger.
      overtaken: whether it committed after a later promotion; a ghost variable,
        which no step reads.
    """

    stage: Stage = Stage.IDLE
    target: int = 0
    term: int = 0
    position: Position = Position(0, 0)
    holders: int = 0
    ran: bool = False
    overtaken: bool = False


class State(NamedTuple):
    """The state of the whole system.

    Attributes:
      upstreams: the three upstreams of the group.
      ballots: one for each term above the first.
      attempts: the writes, followed by the outcome queries, of the one request
        id.
    """

    upstreams: tuple[Upstream, ...]
    ballots: tuple[Ballot, ...]
    attempts: tuple[Attempt, ...]
