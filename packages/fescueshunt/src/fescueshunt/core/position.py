"""Terms, log positions and the history of the replicated log of a database."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Term:
    """A term of leadership, ordered by number and then by proposer name."""

    number: int
    proposer: str = ""


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Position:
    """The term and the index of a log entry; the first index is 1."""

    term: Term
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Branch:
    """The consecutive log entries of one term, beginning at index `start`."""

    term: Term
    start: int


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """The history of a log: its branches and its last index.

    Each promotion appends an entry, so every term that has written to the log
    has a branch.

    Attributes:
      branches: the branches in ascending order of term; empty for an empty log.
      end: the index of the last entry; 0 for an empty log.
    """

    branches: tuple[Branch, ...] = ()
    end: int = 0

    @property
    def last(self) -> Position:
        """The position of the last entry, or `ORIGIN` if the log is empty."""
        if not self.branches:
            return ORIGIN
        return Position(self.branches[-1].term, self.end)

    def end_of(self, term: Term) -> int:
        """Returns the last index written by `term`, or 0 if there is none."""
        for branch_index, branch in enumerate(self.branches):
            if branch.term == term:
                following = self.branches[branch_index + 1 : branch_index + 2]
                return following[0].start - 1 if following else self.end
        return 0

    def holds(self, position: Position) -> bool:
        """Returns whether the entry at `position` is part of this history.

        An entry of an older term is part of it only if its index is before
        the start of the next newer term.
        """
        if position == ORIGIN:
            return True
        return 0 < position.index <= self.end_of(position.term)

    def common_end(self, other: History) -> int:
        """Returns the last index up to which both histories are identical."""
        end = 0
        for own_branch, other_branch in zip(
            self.branches, other.branches, strict=False
        ):
            if own_branch != other_branch:
                break
            end = min(
                self.end_of(own_branch.term), other.end_of(own_branch.term)
            )
            if self.end_of(own_branch.term) != other.end_of(own_branch.term):
                break
        return end

    def extend(self, term: Term) -> History:
        """Returns this history with one entry of `term` appended."""
        branches = self.branches
        if not branches or branches[-1].term != term:
            branches = (*branches, Branch(term, self.end + 1))
        return History(branches, self.end + 1)


NO_TERM = Term(0)
FIRST_TERM = Term(1)
ORIGIN = Position(NO_TERM, 0)
