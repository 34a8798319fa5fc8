"""Items of the platform's store: its news, leases, keys, and promotions."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fescueshunt.core import replica_sets

KEY_PREFIX = "fescueshunt/"
HOSTS_PREFIX = KEY_PREFIX + "hosts/"
VOTES_PREFIX = KEY_PREFIX + "votes/"
DUTY_KEY = KEY_PREFIX + "failover"
LEASE_TTL_S = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class StoredKey:
    """The content of a key of this system.

    Attributes:
      value: as its writer wrote it.
      revision: the store's revision at its last change; it only grows.
      lease: the lease that it ends with, 0 for none.
    """

    value: str
    revision: int
    lease: int


# Sources.


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesListed(filters.Item):
    """All upstreams that the platform's store lists now."""

    entries: tuple[replica_sets.UpstreamEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryChanged(filters.Item):
    """An upstream's entry was written."""

    entry: replica_sets.UpstreamEntry


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRemoved(filters.Item):
    """An upstream's entry was removed, or can't be read any more."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeysListed(filters.Item):
    """Every key of this system in the store, as of `revision`."""

    keys: Mapping[str, StoredKey]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyChanged(filters.Item):
    """A key of this system was written; None: it was removed."""

    key: str
    stored: StoredKey | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGranted(filters.Item):
    """The store granted a lease, or renewed it.

    Attributes:
      asked_at: when the call was sent; it holds for `ttl_s` from then at least.
    """

    lease: int
    requested_at: float
    ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseLost(filters.Item):
    """The lease has ended."""

    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseCallFailed(filters.Item):
    """A call for a lease had no answer; 0: it was to be granted."""

    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyWritten(filters.Item):
    """The answer to a `WriteKey`.

    Attributes:
      done: True, False if the condition did not hold, None if unknown.
      revision: of the write if it was done.
    """

    key: str
    done: bool | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRead(filters.Item):
    """The answer to a `ReadKey`; `answered` is False if there was none."""

    key: str
    requested_at: float
    answered: bool
    stored: StoredKey | None


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionCompleted(filters.Item):
    """The answer to a `CallPromotion`; None: unknown whether it was done."""

    database: str
    upstream: str
    done: bool | None
    detail: str


# Effects.


@dataclasses.dataclass(frozen=True, slots=True)
class AskLease(filters.Item):
    """Asks the store for a lease of `ttl_s` seconds."""

    ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RenewLease(filters.Item):
    """Renews a lease."""

    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndLease(filters.Item):
    """Ends a lease, and with it every key that it holds."""

    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteKey(filters.Item):
    """Writes a key.

    Attributes:
      value: what to write; None removes the key.
      lease: the lease that the key ends with, 0 for none.
      expected: the revision that the key must have, 0 for no such key; None
        writes whatever it is.
    """

    key: str
    value: str | None
    lease: int
    expected: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadKey(filters.Item):
    """Reads a key as it is now."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallPromotion(filters.Item):
    """Has the platform promote an upstream.

    Attributes:
      holder: the host that has the duty.
      token: a number that grows with each change of holder.
    """

    database: str
    upstream: str
    holder: str
    token: int


# Views.


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseView(filters.Item):
    """The lease of this host; 0 for none.

    Attributes:
      valid_until: until then it certainly holds, and this host is known to all
        others as one whose acknowledgement counts; 0.0 otherwise.
      ttl_s: how long a lease holds, by the store's own word.
    """

    lease: int
    valid_until: float
    ttl_s: float = LEASE_TTL_S


@dataclasses.dataclass(frozen=True, slots=True)
class LiveHostsView(filters.Item):
    """The live hosts of the system, this one among them."""

    names: frozenset[str]


def host_from_key(key: str) -> str:
    """Returns the host whose key it is, "" for another key."""
    if not key.startswith(HOSTS_PREFIX):
        return ""
    return key.removeprefix(HOSTS_PREFIX)
