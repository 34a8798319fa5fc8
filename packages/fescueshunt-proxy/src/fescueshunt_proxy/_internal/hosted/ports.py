"""Abstract interfaces to the services that a host uses from its platform."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import quotas

if TYPE_CHECKING:
    import contextlib
    from collections.abc import Awaitable, Callable, Mapping, Sequence

    from fescueshunt.core import (
        replica_sets,
        routes,
        store_items,
    )
    from fescueshunt_wire import host_links


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings with which the platform starts a host.

    All addresses have the form `IP:port`.

    Attributes:
      name: name of the host, unique among the live hosts.
      zone: availability zone of the host.
      session_address: address on which the host accepts clients.
      readiness_address: address on which the load balancer checks readiness.
      store_address: address of the platform's key-value store.
      promotion_address: address of the platform's promotion service.
      grace_s: time limit of a graceful shutdown, in seconds.
      peer_address: address on which the host accepts other hosts; "" if it
        has none.
      cores: the processor time that the host may use, in cores.
      memory_bytes: the memory that the process may use; 0 for no limit.
      max_descriptors: how many file descriptors it may open; 0 for no limit.
      quota_bound: what the quotas of client accounts allow.
    """

    name: str
    zone: str
    session_address: str
    readiness_address: str
    store_address: str
    promotion_address: str
    grace_s: float
    peer_address: str = ""
    cores: float = 1.0
    memory_bytes: int = 0
    max_descriptors: int = 0
    quota_bound: quotas.Bound = quotas.Bound()  # noqa: RUF009


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Contents of the store, as a starting point for watching changes.

    Attributes:
      routes: the operator's routing document; None if it is missing or can't
        be read.
      routes_problem: why the routing document can't be read; "" if it can or
        is missing.
      entries: the entries of the upstreams.
      keys: the keys written by this system, by name.
      unusable: why other upstreams' entries can't be used, by upstream.
      skipped_count: number of items that can't be read at all.
      revision: revision after which a watch must start to miss no change.
    """

    routes: routes.RoutesView | None
    routes_problem: str
    entries: tuple[replica_sets.UpstreamEntry, ...]
    keys: Mapping[str, store_items.StoredKey]
    unusable: Mapping[str, str]
    skipped_count: int
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesChange:
    """The operator's routing document was written.

    Attributes:
      routes: the decoded document; None if it can't be read.
      problem: why it can't be read; "" if it can.
    """

    routes: routes.RoutesView | None
    problem: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryChange:
    """An upstream's entry was written or removed.

    Attributes:
      upstream: name of the upstream.
      entry: the new entry; None if it was removed or names no upstream.
      problem: why it names no upstream; "" if it does or was removed.
    """

    upstream: str
    entry: replica_sets.UpstreamEntry | None
    problem: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyChange:
    """A key of this system was written or removed.

    Attributes:
      key: name of the key.
      stored: the new content; None if the key was removed.
      revision: store revision of the change.
    """

    key: str
    stored: store_items.StoredKey | None
    revision: int


Change = RoutesChange | EntryChange | KeyChange


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes in store order; the next watch starts after `revision`.

    Attributes:
      skipped_count: number of changes that can't be read at all.
    """

    changes: Sequence[Change]
    revision: int
    skipped_count: int = 0


class Store(abc.ABC):
    """The platform's key-value store.

    All methods raise StoreUnavailableError if the store does not answer in
    time. The outcome of a write is then unknown: it may have been applied, or
    may still be applied later.
    """

    @abc.abstractmethod
    async def read_all(self) -> Snapshot:
        """Returns a snapshot of the store items that this system uses."""

    @abc.abstractmethod
    async def watch(self, after: int, wait_s: float) -> Changes:
        """Waits up to `wait_s` seconds for changes after revision `after`.

        Raises:
          HistoryGoneError: if the store no longer has these changes.
        """

    @abc.abstractmethod
    async def read_key(self, key: str) -> store_items.StoredKey | None:
        """Returns the current content of `key`, or None if it is absent."""

    @abc.abstractmethod
    async def write_key(
        self,
        key: str,
        value: str | None,
        lease: int,
        expected: int | None,
        guard: store_items.KeyRevision | None = None,
    ) -> int | None:
        """Writes or removes a key, if its revision is as expected.

        Args:
          key: name of the key.
          value: the new value; None removes the key.
          lease: id of the lease to which the key is attached; 0 for no lease.
          expected: revision that the key must have, 0 if it must not exist;
            None writes unconditionally.
          guard: another key that must have a certain revision, or None.

        Returns:
          The revision of the write, or None if the revision of a key was not
          as expected.

        Raises:
          LeaseEndedError: if the lease does not exist.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """Returns the id of a new lease and its duration in seconds."""

    @abc.abstractmethod
    async def renew_lease(self, lease: int) -> float:
        """Renews a lease and returns its duration in seconds.

        Raises:
          LeaseEndedError: if the lease has ended.
        """

    @abc.abstractmethod
    async def end_lease(self, lease: int) -> None:
        """Ends a lease, and with it the keys attached to it."""


class PromotionClient(abc.ABC):
    """Client of the platform's service that promotes an upstream."""

    @abc.abstractmethod
    async def promote(
        self,
        database: str,
        upstream: str,
        holder: str,
        token: int,
        may_send: Callable[[], bool],
    ) -> str:
        """Makes `upstream` the primary of `database`.

        Args:
          database: the replica set.
          upstream: the member to promote.
          holder: host that holds the right to promote.
          token: fencing token of the holder.
          may_send: whether the call may still be sent; asked right before.

        Returns:
          "" on success, else the reason for the refusal.

        Raises:
          CallNotSentError: if the call was not sent in time.
          ConnectionLostError: if the outcome is unknown.
        """


class PeerTransport(abc.ABC):
    """Opens and accepts links between hosts."""

    @abc.abstractmethod
    async def listen(
        self, serve: Callable[[host_links.Link], Awaitable[None]]
    ) -> None:
        """Passes each link of another host to `serve`, until cancelled.

        Raises:
          OSError: if the address can't be used.
        """

    @abc.abstractmethod
    def connect(
        self, address: str
    ) -> contextlib.AbstractAsyncContextManager[host_links.Link]:
        """Opens a link to the host at `address`; ends it at once on exit.

        Raises:
          ConnectionLostError: if the host can't be reached.
        """


class ReadinessEndpoint(abc.ABC):
    """Endpoint on which the load balancer checks the host's readiness.

    A host is ready while it accepts new sessions.
    """

    @abc.abstractmethod
    def serving(
        self, address: str, is_ready: Callable[[], bool]
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Serves the result of `is_ready` until the context manager exits."""
