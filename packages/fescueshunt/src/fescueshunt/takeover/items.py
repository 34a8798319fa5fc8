"""Items of the takeover pipe."""

from __future__ import annotations

import dataclasses

from fescueshunt.core import filters


@dataclasses.dataclass(frozen=True, slots=True)
class DutyView(filters.Item):
    """Whether this host holds the failover duty.

    Attributes:
      token: grows with each change of holder; 0 while not held.
      held_since: when this host learned that it holds the duty.
      valid_until: the duty's lease certainly holds until then.
    """

    token: int
    held_since: float
    valid_until: float

    def is_held(self, now: float) -> bool:
        """Tells whether the duty is certainly held now."""
        return self.token > 0 and now < self.valid_until


@dataclasses.dataclass(frozen=True, slots=True)
class FindingsView(filters.Item):
    """How many live hosts find the primary of a database failing."""

    database: str
    primary: str
    votes: int
    hosts: int

    @property
    def is_majority(self) -> bool:
        """Whether more than half of the live hosts agree."""
        return self.votes * 2 > self.hosts
