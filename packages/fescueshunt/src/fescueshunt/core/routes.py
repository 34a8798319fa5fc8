"""Routes and replica set policies that the operator configures."""

from __future__ import annotations

import dataclasses
import enum
import functools
from typing import TYPE_CHECKING

from fescueshunt.core import filters, ranks

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fescueshunt.core import accounts


# Under overload, each rank below the most urgent one is guaranteed this share
# of the slots. The operator's document has no setting for it.
LOWER_RANK_FLOOR = 0.1


class Consistency(enum.Enum):
    """The consistency level of the reads of a route.

    PRIMARY: a read sees every commit that was acknowledged before it. BOUNDED:
    a read is stale by at most the route's `max_age_s`. OWN_WRITES: like
    BOUNDED, and a read also sees every commit of its own session.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    OWN_WRITES = "own_writes"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route: the database and the service level that a session gets.

    Attributes:
      name: the name by which clients select the route for a session.
      database: the database whose replica set serves the route.
      consistency: the consistency level of reads.
      timeout_s: the longest time that a statement may take, in seconds.
      target_s: the latency objective of a statement, in seconds.
      priority: the priority; 0 is served first.
      max_age_s: the staleness bound of reads in seconds, for the consistency
        levels that have one.
      is_public: whether clients need no key.
    """

    name: str
    database: str
    consistency: Consistency
    timeout_s: float
    target_s: float
    priority: int
    max_age_s: float
    is_public: bool = False

    @property
    def rank(self) -> ranks.Rank:
        """The rank of the statements of the route."""
        return rank_of(self.priority, self.target_s)


@functools.lru_cache(maxsize=1024)
def rank_of(priority: int, target_s: float = 0.0) -> ranks.Rank:
    """Returns the rank of statements with a priority and a target latency."""
    floor = LOWER_RANK_FLOOR if priority else 0.0
    return ranks.Rank(
        f"priority-{priority}", priority, target_s, worth=1.0, floor=floor
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaSetPolicy:
    """The operator's settings for a replica set.

    Attributes:
      name: the name of the database.
      max_connections: the largest number of connections that one upstream
        accepts from all hosts together.
      sync_replicas: the number of replicas that must receive a commit before it
        is acknowledged.
    """

    name: str
    max_connections: int
    sync_replicas: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesView(filters.Item):
    """The routes in force.

    Attributes:
      version: the version of the operator's document; it only increases.
      routes: the routes by name.
      databases: the replica set policies by database name.
      transaction_idle_s: the longest time that a transaction may be idle, in
        seconds.
      accounts: the client accounts; None if the operator's document has none,
        so that clients need no key.
    """

    version: int
    routes: Mapping[str, Route]
    databases: Mapping[str, ReplicaSetPolicy]
    transaction_idle_s: float
    accounts: accounts.Directory | None = None
