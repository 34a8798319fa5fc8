"""The settings document that operators declare and every proxy enforces."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fescueshunt.core import ranks

MAX_HISTORY_ENTRIES = 32


class Durability(enum.StrEnum):
    """When a write is acknowledged.

    MAJORITY: once a majority of the group holds it, so that no failover loses
    it. PRIMARY: once the primary has it and a majority still supports its
    term; a failover may lose it.
    """

    MAJORITY = "majority"
    PRIMARY = "primary"


class DayState(enum.StrEnum):
    """How sure a calendar day is. Only a confirmed day changes shares."""

    DECLARED = "declared"
    CONFIRMED = "confirmed"
    WITHDRAWN = "withdrawn"


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """One kind of work on the databases of a group.

    Attributes:
      group: the database group it works on.
      rank: the name of its rank.
      writes: whether its requests may write.
      durability: when its writes are acknowledged.
      max_age_s: the age its reads accept; None asks for the session's token
        only, or for the primary where there is none.
    """

    name: str
    group: str
    rank: str
    writes: bool = False
    durability: Durability = Durability.MAJORITY
    max_age_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One member of a database: its zone and address (IP number, port)."""

    name: str
    zone: str
    address: str
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Database:
    """One database with its upstreams."""

    name: str
    group: str
    upstreams: tuple[Upstream, ...]

    def find(self, name: str) -> Upstream | None:
        """Returns the upstream called `name`."""
        for upstream in self.upstreams:
            if upstream.name == name:
                return upstream
        return None

    @property
    def majority(self) -> int:
        """The number of upstreams that is more than half of the group."""
        return len(self.upstreams) // 2 + 1


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """A database group: the limits of each of its upstreams."""

    name: str
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class CalendarDay:
    """A day of surge, in its own time zone.

    Attributes:
      date: the day, as YYYY-MM-DD.
      zone: the IANA time zone of the day.
      lead_s: seconds before midnight at which the change takes effect.
      floors: the floors of ranks that hold on the day, by rank.
      warm: the share of the pool's connections that is kept open.
    """

    name: str
    date: str
    zone: str
    state: DayState
    lead_s: float = 3600.0
    floors: tuple[tuple[str, float], ...] = ()
    warm: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Revision:
    """What is kept of one accepted change.

    Attributes:
      operation: the change's operation id.
      operator: the operator whose token asked for it.
      author: who wanted it.
      statement: the change, in the operators' language.
      asked_s: when it was asked for; wall clock, seconds.
    """

    revision: int
    operation: bytes
    operator: str
    author: str
    reason: str
    statement: str
    asked_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """All that operators declare. `revision` counts accepted changes.

    `history` has the newest changes, oldest first; the last one led to this
    revision.
    """

    revision: int = 0
    operation: bytes = b""
    author: str = ""
    reason: str = ""
    ranks: tuple[ranks.Rank, ...] = ()
    groups: tuple[Group, ...] = ()
    databases: tuple[Database, ...] = ()
    services: tuple[Service, ...] = ()
    calendar: tuple[CalendarDay, ...] = ()
    draining_hosts: tuple[str, ...] = ()
    history: tuple[Revision, ...] = ()

    def rank(self, name: str) -> ranks.Rank | None:
        """Returns the rank called `name`."""
        return _named(self.ranks, name)

    def group(self, name: str) -> Group | None:
        """Returns the group called `name`."""
        return _named(self.groups, name)

    def database(self, name: str) -> Database | None:
        """Returns the database called `name`."""
        return _named(self.databases, name)

    def service(self, name: str) -> Service | None:
        """Returns the service called `name`."""
        return _named(self.services, name)

    def find_operation(self, operation: bytes) -> Revision | None:
        """Returns the change that `operation` made, if it is in the history."""
        for entry in self.history:
            if entry.operation == operation:
                return entry
        return None

    def find_revision(self, revision: int) -> Revision | None:
        """Returns the change that led to `revision`, if it is kept."""
        for entry in self.history:
            if entry.revision == revision:
                return entry
        return None


def _named(entries: tuple, name: str) -> object | None:
    for entry in entries:
        if entry.name == name:
            return entry
    return None
