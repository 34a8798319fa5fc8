"""States of the takeover specification.

The model has three members, up to two holders of the failover duty, and one
host that reads. Write 0 goes to the first primary, write 1 to a later one. All
states are immutable tuples, so that the checker can hash them.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

MEMBERS = (0, 1, 2)
FIRST_PRIMARY = 0
FIRST_TERM = 1


class Entry(NamedTuple):
    """A log entry: the term in which it was committed, and the write."""

    term: int
    write: int


class LogPosition(NamedTuple):
    """The end of a log: the term of the last entry, and its index from 1.

    Both are 0 for an empty log.
    """

    term: int
    index: int


class Member(NamedTuple):
    """A member of the replica set.

    Attributes:
      term: the term that the member serves.
      is_primary: whether the member acts as the primary.
      paused_term: the term with which the member was paused, 0 if it is not.
      log: the entries, oldest first.
    """

    term: int = FIRST_TERM
    is_primary: bool = False
    paused_term: int = 0
    log: tuple[Entry, ...] = ()

    @property
    def last_position(self) -> LogPosition:
        """The position of the last entry."""
        return LogPosition(self.log[-1].term if self.log else 0, len(self.log))

    def has_write(self, write: int) -> bool:
        """Returns whether the log has `write`."""
        return any(entry.write == write for entry in self.log)


class Stage(enum.IntEnum):
    """The stages of an attempt."""

    IDLE = 0
    FENCING = 1
    ENDED = 2


class Attempt(NamedTuple):
    """The failover attempt of one holder.

    Attributes:
      stage: the stage of the attempt.
      term: the term with which it fences members.
      final_positions: the position of each member when it was fenced, or None.
      pending_resumes: a bit mask of the members that a RESUME may still reach.
    """

    stage: Stage = Stage.IDLE
    term: int = 0
    final_positions: tuple[LogPosition | None, ...] = (None, None, None)
    pending_resumes: int = 0

    @property
    def fenced_members(self) -> list[int]:
        """The indices of the members that the holder believes are fenced."""
        return [
            index
            for index in MEMBERS
            if self.final_positions[index] is not None
        ]


class Call(NamedTuple):
    """A call for a promotion that may still take effect.

    Attributes:
      target: the member to promote.
      token: the fencing token of the caller.
    """

    target: int
    token: int


class Reader(NamedTuple):
    """A host that may read at the first primary.

    Attributes:
      trusts_record: whether its lease is valid and it knows of no primary
        change.
      confirmed: whether members have recently confirmed the primary.
    """

    trusts_record: bool = True
    confirmed: bool = False


class State(NamedTuple):
    """A state of the whole system.

    Attributes:
      members: the members of the replica set.
      attempts: the attempt of each holder.
      reader: the host that reads.
      duty_token: the fencing token of the holder, which increases with each
        change of holder.
      is_moving: whether the record says that the primary is being replaced.
      committed: a bit mask of the committed writes.
      acked: a bit mask of the acknowledged writes.
      stale_commits: a bit mask of the writes that a replaced primary committed;
        a ghost variable, which no transition depends on.
      promotions: the tokens of the promotion calls in order, including calls
        for other replica sets.
      restarts_left: the number of restarts that may still happen.
      dropped: the member that the holders have dropped as silent, or None. It
        still runs.
      recorded_primary: the primary that the record names, the former one while
        it is being replaced.
      recorded_term: the term in the record.
      open_calls: the calls that may still take effect, in order.
      unsettled_calls: the calls since the last primary was recorded, each once.
      calls_left: the number of calls that may still be sent.
    """

    members: tuple[Member, ...]
    attempts: tuple[Attempt, ...]
    reader: Reader = Reader()
    duty_token: int = 1
    is_moving: bool = False
    committed: int = 0
    acked: int = 0
    stale_commits: int = 0
    promotions: tuple[int, ...] = ()
    restarts_left: int = 0
    dropped: int | None = None
    recorded_primary: int = FIRST_PRIMARY
    recorded_term: int = FIRST_TERM
    open_calls: tuple[Call, ...] = ()
    unsettled_calls: tuple[Call, ...] = ()
    calls_left: int = 0


def highest_term(state: State) -> int:
    """Returns the highest term that any member serves."""
    return max(member.term for member in state.members)


def ended_attempt(pending_resumes: int = 0) -> Attempt:
    """Returns an attempt that has ended; what it knew is forgotten."""
    return Attempt(stage=Stage.ENDED, pending_resumes=pending_resumes)


def replace_at(values: tuple, index: int, value: object) -> tuple:
    """Returns `values` with another value at `index`."""
    return (*values[:index], value, *values[index + 1 :])


def with_member(state: State, index: int, member: Member) -> State:
    """Returns `state` with another member at `index`."""
    return state._replace(members=replace_at(state.members, index, member))


def with_attempt(state: State, holder: int, attempt: Attempt) -> State:
    """Returns `state` with another attempt of `holder`."""
    return state._replace(attempts=replace_at(state.attempts, holder, attempt))


def with_promoted(state: State, target: int) -> State:
    """Returns `state` after the promotion of `target`.

    All members that do not act as a primary learn of it.
    """
    term = highest_term(state) + 1
    members = tuple(
        m if m.is_primary else m._replace(term=term, paused_term=0)
        for m in state.members
    )
    promoted = state.members[target]._replace(
        term=term, is_primary=True, paused_term=0
    )
    return state._replace(members=replace_at(members, target, promoted))


def replicas_of(primary: int) -> int:
    """Returns a bit mask of all members but `primary`."""
    return sum(1 << index for index in MEMBERS if index != primary)
