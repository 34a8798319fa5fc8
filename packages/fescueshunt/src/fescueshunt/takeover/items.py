"""Items that the takeover pipe publishes: the failure votes."""

from __future__ import annotations

import dataclasses

from fescueshunt.core import filters


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
