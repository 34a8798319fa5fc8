"""Messages of the stand-ins for the platform's store and host list.

docs/design/platform.md states the assumptions behind these messages.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformCall:
    """Base class of the calls to the platform."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformReply:
    """Base class of the replies of the platform."""


@dataclasses.dataclass(frozen=True, slots=True)
class Get(PlatformCall):
    """Reads the value of a key, optionally after waiting for a newer version.

    Attributes:
      key: the key to read.
      above: the platform replies once the version is higher than this, or
        after `wait_s`.
      wait_s: the maximum time to wait, in seconds; 0 to read at once.
    """

    key: str
    above: int = -1
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Found(PlatformReply):
    """The value of a key; version 0 and no bytes if the key has no value."""

    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CompareAndSwap(PlatformCall):
    """Sets the value of `key` if its current version is `expected`."""

    key: str
    expected: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Swapped(PlatformReply):
    """The reply to `CompareAndSwap`.

    Attributes:
      done: whether the value was set.
      version: the current version of the key.
    """

    done: bool
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class AcquireLease(PlatformCall):
    """Acquires or renews the lease `key` for `holder`.

    Attributes:
      key: the name of the lease.
      holder: the name of the process that requests the lease.
      ttl_s: the time after which the lease expires unless it is renewed, in
        seconds.
    """

    key: str
    holder: str
    ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseHeld(PlatformReply):
    """The name of the current holder of the lease."""

    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListHosts(PlatformCall):
    """Reads the host list, which may be out of date."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostEntry:
    """An entry of the host list.

    Attributes:
      name: the name of the host.
      zone: the availability zone of the host.
      address: the address at which other proxies reach the host's proxy, as
        `IP:PORT`.
      leaving: whether the platform marks the host as leaving.
    """

    name: str
    zone: str
    address: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HostList(PlatformReply):
    """The host list, which may be out of date."""

    hosts: tuple[HostEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SetHost(PlatformCall):
    """Adds or changes an entry of the host list. Only stand-ins support it."""

    host: HostEntry


@dataclasses.dataclass(frozen=True, slots=True)
class SetFault(PlatformCall):
    """Injects faults into a stand-in for the platform or for an upstream.

    Attributes:
      down: whether the stand-in leaves calls unanswered.
      delay_s: the additional latency of each call, in seconds.
      lose_answers: the number of subsequent changes that are applied but get
        no reply.
      lag_s: the lag of the replica or of the host list, in seconds.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lag_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadCalls(PlatformCall):
    """Reads the number of calls of each kind. Only stand-ins support it."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallCounts(PlatformReply):
    """The number of calls received so far, as pairs of a name and a count."""

    counts: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Done(PlatformReply):
    """Confirms that a stand-in has applied a control call; has no content."""
