"""Items exchanged between the filters of the members pipe."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from fescueshunt.core import filters

if TYPE_CHECKING:
    from fescueshunt.core import views


class ClaimSource(enum.Enum):
    """The source of a claim about a member.

    RUMOR: a gossip message. PROBE: a ping, or a missing ack. LIST: the
    platform's list of hosts. SELF: this proxy, about itself.
    """

    RUMOR = "rumor"
    PROBE = "probe"
    LIST = "list"
    SELF = "self"


@dataclasses.dataclass(frozen=True, slots=True)
class MemberClaimed(filters.Item):
    """A claim about a member, which the membership table accepts or rejects."""

    member: views.Member
    source: ClaimSource


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanged(filters.Item):
    """The membership table has changed; `member` is the new entry."""

    member: views.Member
    source: ClaimSource


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRemoved(filters.Item):
    """The membership table removed a dead member that is no longer listed."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProxyCandidate(filters.Item):
    """An address that may belong to a proxy; `name` is "" if unknown."""

    name: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class HostListReceived(filters.Item):
    """The platform's list of hosts was read; `names` are the listed hosts."""

    names: frozenset[str]
