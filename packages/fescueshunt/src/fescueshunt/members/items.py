"""Items within the members pipe."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from fescueshunt.core import filters

if TYPE_CHECKING:
    from fescueshunt.core import views


class Evidence(enum.Enum):
    """Where a claim about a member comes from."""

    RUMOR = "rumor"
    PROBE = "probe"
    LIST = "list"
    SELF = "self"


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed(filters.Item):
    """A claim about a member, which the table may or may not accept."""

    member: views.Member
    evidence: Evidence


@dataclasses.dataclass(frozen=True, slots=True)
class Changed(filters.Item):
    """The table accepted a claim; this is what it holds now."""

    member: views.Member
    evidence: Evidence


@dataclasses.dataclass(frozen=True, slots=True)
class Forgotten(filters.Item):
    """The table dropped a member that is dead and not listed any more."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate(filters.Item):
    """An address that may be a proxy; `name` is "" where only it is known."""

    name: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListSeen(filters.Item):
    """The names of the hosts on the platform's list."""

    names: frozenset[str]
