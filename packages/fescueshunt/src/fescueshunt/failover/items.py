"""Items that only the failover pipe uses."""

from __future__ import annotations

import dataclasses

from fescueshunt.core import filters, position, views


@dataclasses.dataclass(frozen=True, slots=True)
class Failing:
    """An upstream that a witness finds failing since a local time; seconds."""

    name: str
    since: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reported(filters.Item):
    """The newest report of one witness, this proxy itself among them.

    Attributes:
      term: the highest term that the witness knows to serve.
      failing: the upstreams that don't answer it.
      pending: the highest promise above `term`, NO_TERM for none.
      pending_since: when the witness first saw it; local clock, seconds.
    """

    database: str
    witness: str
    term: position.Term
    failing: tuple[Failing, ...] = ()
    pending: position.Term = position.NO_TERM
    pending_since: float = 0.0

    def failing_since(self, name: str) -> float | None:
        """Returns since when the upstream `name` fails, None if it doesn't."""
        for failing in self.failing:
            if failing.name == name:
                return failing.since
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Suspected(filters.Item):
    """A primary that is to be replaced; repeated for as long as it holds.

    `turn` is this proxy's place among those that may propose, from 0.
    """

    view: views.GroupView
    cause: views.Cause
    witnesses: tuple[str, ...]
    turn: int
