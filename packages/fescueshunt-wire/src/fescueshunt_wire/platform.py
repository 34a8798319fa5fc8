"""Messages of the platform's store and host list, as our stand-ins speak them.

The assumptions behind these messages stand in docs/design/platform.md.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformCall:
    """Base of the calls to the platform."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformReply:
    """Base of the replies of the platform."""


@dataclasses.dataclass(frozen=True, slots=True)
class Get(PlatformCall):
    """Reads `key`; with `wait_s`, once its version is above `above`."""

    key: str
    above: int = -1
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Found(PlatformReply):
    """The value of a key; version 0 and no bytes where there is none."""

    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CompareAndSwap(PlatformCall):
    """Sets `key` if its version is `expected`."""

    key: str
    expected: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Swapped(PlatformReply):
    """Whether the value was set, and the version that holds now."""

    done: bool
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class AcquireLease(PlatformCall):
    """Takes or renews the lease `key` for `holder`."""

    key: str
    holder: str
    ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseHeld(PlatformReply):
    """Who holds the lease now."""

    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListHosts(PlatformCall):
    """Reads the list of hosts, which lags behind."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostEntry:
    """One entry of the host list."""

    name: str
    zone: str
    address: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HostList(PlatformReply):
    """The host list as of some time ago."""

    hosts: tuple[HostEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SetHost(PlatformCall):
    """Stand-in only: adds or changes a host on the list."""

    host: HostEntry


@dataclasses.dataclass(frozen=True, slots=True)
class SetFault(PlatformCall):
    """Stand-in only: makes the platform, or an upstream, misbehave.

    Attributes:
      down: calls get no answer.
      delay_s: each call takes so much longer.
      lose_answers: how many of the next changes lose their answers.
      lag_s: how far a replica, or the host list, is behind.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lag_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadCalls(PlatformCall):
    """Stand-in only: reads how many calls were counted, by name."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallCounts(PlatformReply):
    """The calls counted so far."""

    counts: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Done(PlatformReply):
    """A stand-in's answer that has no content."""
