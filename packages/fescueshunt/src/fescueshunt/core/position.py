"""Terms, log positions and the history of a database group's log."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Term:
    """A ballot: terms order by number, then by the proposer's name."""

    number: int
    proposer: str = ""


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Position:
    """The place of one log entry: its term and its index (from 1)."""

    term: Term
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Branch:
    """The entries that one term wrote, from index `start` on."""

    term: Term
    start: int


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """The branches of a log in order of term, and the index of its end.

    A promotion writes an entry of its own, so every term that ever wrote has a
    branch. An empty log has no branch and ends at 0.
    """

    branches: tuple[Branch, ...] = ()
    end: int = 0

    @property
    def last(self) -> Position:
        """The position of the last entry; term 0 and index 0 when empty."""
        if not self.branches:
            return ORIGIN
        return Position(self.branches[-1].term, self.end)

    def end_of(self, term: Term) -> int:
        """Returns the last index that `term` wrote here, or 0 for none."""
        for number, branch in enumerate(self.branches):
            if branch.term == term:
                following = self.branches[number + 1 : number + 2]
                return following[0].start - 1 if following else self.end
        return 0

    def holds(self, position: Position) -> bool:
        """Tells whether the entry at `position` is part of this history.

        An index of an older term counts only up to where a newer term forked
        from it.
        """
        if position == ORIGIN:
            return True
        return 0 < position.index <= self.end_of(position.term)

    def common_end(self, other: History) -> int:
        """Returns the last index up to which both histories are the same."""
        end = 0
        for mine, theirs in zip(self.branches, other.branches, strict=False):
            if mine != theirs:
                break
            end = min(self.end_of(mine.term), other.end_of(mine.term))
            if self.end_of(mine.term) != other.end_of(mine.term):
                break
        return end

    def extend(self, term: Term) -> History:
        """Returns this history with one more entry, written by `term`."""
        branches = self.branches
        if not branches or branches[-1].term != term:
            branches = (*branches, Branch(term, self.end + 1))
        return History(branches, self.end + 1)


NO_TERM = Term(0)
FIRST_TERM = Term(1)
ORIGIN = Position(NO_TERM, 0)
