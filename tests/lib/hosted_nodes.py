"""The hosts of the simulation, and their connections to the replica set."""

from __future__ import annotations

import dataclasses

from fescueshunt.core import filters, position, session_items
from fescueshunt_standins.hosted import replicas, statements

ORIGIN = position.Position(position.Term(1), 0)


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """A host's connection to a member of the replica set.

    Attributes:
      host: the host's name.
      session: the connection's state at the member.
      open: whether neither side has ended it.
      name: its name for the judge, used once.
    """

    host: str
    session: statements.UpstreamSession
    open: bool = True
    name: str = ""

    @property
    def member(self) -> replicas.Member:
        return self.session.member


@dataclasses.dataclass(slots=True, eq=False)
class Host:
    """A host's core with its connections and simulation state."""

    name: str
    core: filters.Core
    connections: dict[int, Connection] = dataclasses.field(default_factory=dict)
    watched_revision: int | None = None
    frozen_until: float = 0.0
    deferred_items: list[filters.Item] = dataclasses.field(default_factory=list)
    decisions: list[session_items.LogDecision] = dataclasses.field(
        default_factory=list
    )
    ready: bool = False
