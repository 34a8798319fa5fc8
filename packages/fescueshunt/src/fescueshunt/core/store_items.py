"""Items about the platform's store: entries, keys, leases and promotions."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fescueshunt.core import hosts, replica_sets

KEY_PREFIX = "fescueshunt/"
HOSTS_PREFIX = KEY_PREFIX + "hosts/"
VOTES_PREFIX = KEY_PREFIX + "votes/"
DUTY_KEY = KEY_PREFIX + "failover"
LEASE_TTL_S = 1.2
# The value of a host's key once the host no longer relies on its lease, in
# place of its availability zone. No zone has such a name.
STOPPING = "state=stopping"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredKey:
    """The content of a key of this system.

    Attributes:
      value: the stored value.
      revision: the revision of the store at the last change of the key; it only
        increases.
      lease: the id of the lease that the key is bound to; 0 if there is none.
    """

    value: str
    revision: int
    lease: int


# Events.


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesListed(filters.Item):
    """A full listing of the upstream entries in the platform's store."""

    entries: tuple[replica_sets.UpstreamEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryChanged(filters.Item):
    """The entry of an upstream was created or changed."""

    entry: replica_sets.UpstreamEntry


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRemoved(filters.Item):
    """The entry of an upstream was removed or became unreadable."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeysListed(filters.Item):
    """A full listing of the keys of this system, as of `revision`."""

    keys: Mapping[str, StoredKey]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyChanged(filters.Item):
    """A key of this system was written or removed.

    Attributes:
      stored: the new content, or None if the key was removed.
      revision: the revision of the store after the change.
    """

    key: str
    stored: StoredKey | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGranted(filters.Item):
    """The store granted or renewed a lease.

    Attributes:
      requested_at: when the call was sent. The lease is valid for at least
        `ttl_s` seconds from then.
    """

    lease: int
    requested_at: float
    ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseLost(filters.Item):
    """The lease has expired or was revoked."""

    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseCallFailed(filters.Item):
    """A call to grant or renew a lease got no answer.

    Attributes:
      lease: the id of the lease to renew; 0 for a call to grant one.
    """

    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyWritten(filters.Item):
    """The answer to a `WriteKey`.

    Attributes:
      done: True if the key was written, False if the condition did not hold,
        None if the outcome is unknown.
      revision: the revision of the write if it was done.
      write: the write that this answers.
    """

    key: str
    done: bool | None
    revision: int
    write: WriteKey | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRead(filters.Item):
    """The answer to a `ReadKey`.

    Attributes:
      requested_at: when the call was sent.
      answered: False if the store did not answer.
      stored: the content of the key, or None if it does not exist.
    """

    key: str
    requested_at: float
    answered: bool
    stored: StoredKey | None


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionCompleted(filters.Item):
    """The outcome of a `CallPromotion`.

    Attributes:
      done: whether the upstream was promoted, or None if that is unknown.
      detail: a description of the outcome.
    """

    database: str
    upstream: str
    done: bool | None
    detail: str


# Effects.


@dataclasses.dataclass(frozen=True, slots=True)
class AskLease(filters.Item):
    """Requests a lease of `ttl_s` seconds from the store."""

    ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RenewLease(filters.Item):
    """Renews a lease."""

    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndLease(filters.Item):
    """Revokes a lease, which removes every key bound to it."""

    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRevision:
    """A key and the revision that it must have; 0 if it must not exist."""

    key: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteKey(filters.Item):
    """Writes a key.

    Attributes:
      value: the value to write; None removes the key.
      lease: the id of the lease to bind the key to; 0 if there is none.
      expected: the revision that the key must have for the write to succeed; 0
        if the key must not exist; None to write unconditionally.
      guard: another key on which the write depends, or None.
    """

    key: str
    value: str | None
    lease: int
    expected: int | None
    guard: KeyRevision | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadKey(filters.Item):
    """Reads the current content of a key."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallPromotion(filters.Item):
    """Requests that the platform promote an upstream.

    Attributes:
      holder: the host that holds the failover duty.
      token: a fencing token that increases with each change of holder.
      send_before: the call must not be sent after this time, in seconds on the
        local clock.
    """

    database: str
    upstream: str
    holder: str
    token: int
    send_before: float


# Views.


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseView(filters.Item):
    """The lease of this host.

    Attributes:
      lease: the id of the lease; 0 if there is none.
      valid_until: the time until which the lease is certainly valid and all
        other hosts count this host among those that must acknowledge a
        failover; 0.0 if there is no such time.
      ttl_s: the duration of a lease as the store states it, in seconds.
    """

    lease: int
    valid_until: float
    ttl_s: float = LEASE_TTL_S


@dataclasses.dataclass(frozen=True, slots=True)
class DutyView(filters.Item):
    """Whether this host holds the failover duty.

    All times are in seconds on this host's clock.

    Attributes:
      token: The fencing token, which increases with each change of holder; 0
        if this host does not hold the duty.
      held_since: When this host learned that it holds the duty.
      valid_until: The lease of the duty is certain to hold until this time.
    """

    token: int
    held_since: float
    valid_until: float

    def is_held(self, now: float) -> bool:
        """Returns whether this host is certain to hold the duty at `now`."""
        return self.token > 0 and now < self.valid_until


@dataclasses.dataclass(frozen=True, slots=True)
class LiveHostsView(filters.Item):
    """The live hosts, including this one.

    Attributes:
      names: their names.
      hosts: what each of them has published, by name.
    """

    names: frozenset[str]
    hosts: Mapping[str, hosts.HostInfo] = dataclasses.field(
        default_factory=dict
    )


def is_leased(stored: StoredKey | None) -> bool:
    """Returns whether a key exists and ends with its writer's lease.

    The keys of hosts, their votes and the failover duty do. A key in their
    place that does not was left by another program.
    """
    return stored is not None and stored.lease != 0


def host_from_key(key: str) -> str:
    """Returns the host that owns `key`, or "" if it is not a host's key."""
    if not key.startswith(HOSTS_PREFIX):
        return ""
    return key.removeprefix(HOSTS_PREFIX)
