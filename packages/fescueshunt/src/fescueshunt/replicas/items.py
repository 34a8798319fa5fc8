"""Items of the replicas pipe."""

from __future__ import annotations

import dataclasses

from fescueshunt.core import filters, replica_sets


@dataclasses.dataclass(frozen=True, slots=True)
class MembersChanged(filters.Item):
    """The members of a replica set changed.

    Attributes:
      database: the database of the replica set.
      entries: the entries of all members that serve or may serve.
      former: the former members that may have acknowledged commits which no
        member but the primary is known to hold.
      watched_since: since when this host has read all changes of entries, in
        seconds on the local clock.
    """

    database: str
    entries: tuple[replica_sets.UpstreamEntry, ...]
    former: tuple[replica_sets.FormerMember, ...]
    watched_since: float


@dataclasses.dataclass(frozen=True, slots=True)
class FormerMembersCovered(filters.Item):
    """A replica holds all commits that these former members acknowledged."""

    database: str
    former: tuple[replica_sets.FormerMember, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ScarceConnections(filters.Item):
    """The databases whose upstreams accept fewer connections than hosts."""

    databases: frozenset[str]
