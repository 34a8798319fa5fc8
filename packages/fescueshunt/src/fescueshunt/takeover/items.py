"""Items that the takeover pipe publishes: the duty and the failure votes."""

from __future__ import annotations

import dataclasses

from fescueshunt.core import filters


@dataclasses.dataclass(frozen=True, slots=True)
class DutyView(filters.Item):
    """Whether this host holds the failover duty.

    All times are in seconds on this host's clock.

    Attributes:
      token: The fencing token, which increases with each change of holder; 0
        if this host does not hold the duty.
      held_since: When this host learned that it holds the duty.
      valid_until: The lease of the duty is certain to hold until this time.
    """

    token: int
    held_since: float
    valid_until: float

    def is_held(self, now: float) -> bool:
        """Returns whether this host is certain to hold the duty at `now`."""
        return self.token > 0 and now < self.valid_until


@dataclasses.dataclass(frozen=True, slots=True)
class FailureVotesView(filters.Item):
    """The count of live hosts that vote that a primary is failing.

    Attributes:
      database: The database of the replica set.
      primary: The id of the primary that is voted on.
      votes: The number of live hosts that vote that it is failing.
      hosts: The number of live hosts.
    """

    database: str
    primary: str
    votes: int
    hosts: int

    @property
    def is_majority(self) -> bool:
        """Whether more than half of the live hosts vote that it is failing."""
        return self.votes * 2 > self.hosts
