"""Items of the replicas pipe."""

from __future__ import annotations

import dataclasses

from fescueshunt.core import filters, replica_sets


@dataclasses.dataclass(frozen=True, slots=True)
class MembersChanged(filters.Item):
    """The members of a database that serve or may serve."""

    database: str
    entries: tuple[replica_sets.UpstreamEntry, ...]
