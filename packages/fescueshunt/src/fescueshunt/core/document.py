"""The settings document, which operators change and every proxy enforces."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fescueshunt.core import ranks

MAX_HISTORY_ENTRIES = 32


class Durability(enum.StrEnum):
    """The point at which a write is acknowledged to the caller.

    MAJORITY: once a majority of the group's upstreams hold the write, so that
    no failover loses it. PRIMARY: once the primary has committed the write and
    a majority still supports the primary's term; a failover may lose the write.
    """

    MAJORITY = "majority"
    PRIMARY = "primary"


class DayState(enum.StrEnum):
    """The state of a calendar day. Only a confirmed day changes slot shares."""

    DECLARED = "declared"
    CONFIRMED = "confirmed"
    WITHDRAWN = "withdrawn"


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A kind of work on the databases of one group.

    Attributes:
      group: the name of the database group that the service uses.
      rank: the name of the rank of the service's requests.
      writes: whether the service's requests may write.
      durability: when the service's writes are acknowledged.
      max_age_s: the maximum age of data that the service's reads accept, in
        seconds. With None, reads only have to include the write that the
        session's token names; without a token they go to the primary.
    """

    name: str
    group: str
    rank: str
    writes: bool = False
    durability: Durability = Durability.MAJORITY
    max_age_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream of a database.

    Attributes:
      zone: the availability zone of the upstream.
      address: the IP address and port, as `IP:PORT`.
      draining: whether the upstream is being drained and gets no new work.
    """

    name: str
    zone: str
    address: str
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Database:
    """A database, the name of its group, and its upstreams."""

    name: str
    group: str
    upstreams: tuple[Upstream, ...]

    def find(self, name: str) -> Upstream | None:
        """Returns the upstream called `name`, or None if there is none."""
        for upstream in self.upstreams:
            if upstream.name == name:
                return upstream
        return None

    @property
    def majority(self) -> int:
        """The smallest number of upstreams that form a majority."""
        return len(self.upstreams) // 2 + 1


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """A database group, with the limits that hold for each of its upstreams.

    Attributes:
      slots: the number of requests that may run on an upstream at once.
      connections: the maximum number of connections to an upstream.
    """

    name: str
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class CalendarDay:
    """A day on which a surge of load is expected.

    Attributes:
      date: the day, as YYYY-MM-DD.
      zone: the IANA time zone in which the day begins and ends.
      lead_s: how long before the day begins its floors and pool sizes take
        effect, in seconds.
      floors: pairs of a rank's name and its minimum share of the slots on
        this day.
      warm: the share of a pool's connections that is kept open, from 0 to 1.
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
    """The history record of one accepted change.

    Attributes:
      revision: the revision that the change produced.
      operation: the operation id of the change.
      operator: the operator whose token authenticated the request.
      author: the person who wanted the change.
      reason: why the change was made.
      statement: the change as a statement of the operators' language.
      asked_s: when the change was requested; seconds since the epoch.
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
    """The complete settings that operators have declared.

    Attributes:
      revision: the number of changes accepted so far.
      operation: the operation id of the newest change.
      author: the person who wanted the newest change.
      reason: why the newest change was made.
      draining_hosts: the names of the proxies that are being drained.
      history: the newest changes, oldest first; the last one produced this
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
        """Returns the rank called `name`, or None if there is none."""
        return _find_by_name(self.ranks, name)

    def group(self, name: str) -> Group | None:
        """Returns the group called `name`, or None if there is none."""
        return _find_by_name(self.groups, name)

    def database(self, name: str) -> Database | None:
        """Returns the database called `name`, or None if there is none."""
        return _find_by_name(self.databases, name)

    def service(self, name: str) -> Service | None:
        """Returns the service called `name`, or None if there is none."""
        return _find_by_name(self.services, name)

    def find_operation(self, operation: bytes) -> Revision | None:
        """Returns the history record of `operation`, or None if not found."""
        for entry in self.history:
            if entry.operation == operation:
                return entry
        return None

    def find_revision(self, revision: int) -> Revision | None:
        """Returns the history record of `revision`, or None if not found."""
        for entry in self.history:
            if entry.revision == revision:
                return entry
        return None


def _find_by_name(entries: tuple, name: str) -> object | None:
    for entry in entries:
        if entry.name == name:
            return entry
    return None
