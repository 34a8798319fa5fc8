"""Routes: what the operator lets clients ask for, and how it is served."""

from __future__ import annotations

import dataclasses
import enum
import functools
from typing import TYPE_CHECKING

from fescueshunt.core import filters, ranks

if TYPE_CHECKING:
    from collections.abc import Mapping


# The share of the slots that each rank below the most urgent keeps in a flood;
# the operator's document declares none.
LOWER_RANK_FLOOR = 0.1


class Consistency(enum.Enum):
    """How fresh the reads of a route are.

    PRIMARY: with every commit acknowledged before. BOUNDED: at most the
    route's `max_age_s` old. OWN_WRITES: as BOUNDED, and with every commit of
    the same session.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    OWN_WRITES = "own_writes"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """What a session gets under a name.

    Attributes:
      name: what clients start a session with.
      database: the replica set that serves it.
      consistency: how fresh its reads are.
      timeout_s: the longest that one statement may take; seconds.
      target_s: the latency objective of an operation; seconds.
      priority: 0 is served first.
      max_age_s: how old a read may be, where `consistency` bounds it; seconds.
    """

    name: str
    database: str
    consistency: Consistency
    timeout_s: float
    target_s: float
    priority: int
    max_age_s: float

    @property
    def rank(self) -> ranks.Rank:
        """The rank of its work."""
        return _rank(self.priority, self.target_s)


@functools.lru_cache(maxsize=1024)
def _rank(priority: int, target_s: float) -> ranks.Rank:
    floor = LOWER_RANK_FLOOR if priority else 0.0
    return ranks.Rank(
        f"priority-{priority}", priority, target_s, worth=1.0, floor=floor
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaSetPolicy:
    """What the operator says of a replica set.

    Attributes:
      max_connections: the most that one upstream takes, of all hosts.
      sync_replicas: how many replicas receive a commit before it is
        acknowledged.
    """

    name: str
    max_connections: int
    sync_replicas: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesView(filters.Item):
    """The routes in force.

    Attributes:
      version: the operator's version; it only grows.
      routes: by the name that clients use.
      databases: by name.
      transaction_idle_s: how long a transaction may be idle; seconds.
    """

    version: int
    routes: Mapping[str, Route]
    databases: Mapping[str, ReplicaSetPolicy]
    transaction_idle_s: float
