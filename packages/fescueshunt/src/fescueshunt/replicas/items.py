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
      silent: the ids of former members that were dropped because they did not
        answer. They may still run, and acknowledge commits with each other or
        with a member.
      left: the ids of former members that have left as planned.
      watched_since: since when this host has read all changes of entries, in
        seconds on the local clock.
    """

    database: str
    entries: tuple[replica_sets.UpstreamEntry, ...]
    silent: frozenset[str]
    left: frozenset[str]
    watched_since: float


@dataclasses.dataclass(frozen=True, slots=True)
class ScarceConnections(filters.Item):
    """The databases whose upstreams accept fewer connections than hosts."""

    databases: frozenset[str]
