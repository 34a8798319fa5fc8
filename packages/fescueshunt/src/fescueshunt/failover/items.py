"""Items exchanged between the filters of the failover pipe."""

from __future__ import annotations

import dataclasses

from fescueshunt.core import filters, position, views


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedFailure:
    """An upstream whose calls fail, as observed by one witness.

    `since` is when the failures began; local clock, seconds.
    """

    name: str
    since: float


@dataclasses.dataclass(frozen=True, slots=True)
class WitnessReport(filters.Item):
    """The newest report of one witness about the upstreams of a database.

    A witness is a proxy that watches the database, possibly this one.

    Attributes:
      term: the highest term that the witness knows to have a primary.
      failing: the upstreams that do not answer the witness.
      pending_term: the highest promised term above `term`; NO_TERM if no
        upstream has promised one.
      pending_since: when the witness first observed that promise; local clock,
        seconds.
    """

    database: str
    witness: str
    term: position.Term
    failing: tuple[ObservedFailure, ...] = ()
    pending_term: position.Term = position.NO_TERM
    pending_since: float = 0.0

    def failing_since(self, name: str) -> float | None:
        """Returns when `name` began to fail, or None if it is not failing."""
        for failing in self.failing:
            if failing.name == name:
                return failing.since
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class PrimarySuspected(filters.Item):
    """The primary should be replaced; emitted at each tick while this holds.

    Attributes:
      view: this proxy's view of the group.
      cause: why the primary should be replaced.
      witnesses: the names of the watchers that agree.
      proposer_index: this proxy's position in the order of proposers, from 0.
    """

    view: views.GroupView
    cause: views.Cause
    witnesses: tuple[str, ...]
    proposer_index: int
