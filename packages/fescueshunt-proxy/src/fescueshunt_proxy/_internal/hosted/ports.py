"""What a host needs of its platform, one abstract base class each."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import contextlib
    from collections.abc import Callable, Mapping, Sequence

    from fescueshunt import errors
    from fescueshunt.core import (
        replica_sets,
        routes,
        sessions,
        store_items,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """What a host is told at its start.

    Attributes:
      name: unique among the live hosts.
      zone: its availability zone.
      sessions: where clients connect; IP number:port.
      readiness: where the balancer asks.
      store: the platform's store.
      promotions: where a promotion is ordered.
      grace_s: how long a graceful stop may take; seconds.
    """

    name: str
    zone: str
    session_address: str
    readiness_address: str
    store_address: str
    promotion_address: str
    grace_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """What the store holds.

    Attributes:
      routes: the operator's document, or None.
      routes_problem: why it can't be read, "" if it can.
      entries: the upstreams.
      keys: this system's keys.
      unreadable: how many entries name no upstream.
      revision: changes after it are still to be watched.
    """

    routes: routes.RoutesView | None
    routes_problem: str
    entries: tuple[replica_sets.Entry, ...]
    keys: Mapping[str, store_items.StoredKey]
    unreadable_count: int
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesChange:
    """The operator's document was written; None: it can't be read."""

    routes: routes.RoutesView | None
    problem: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryChange:
    """An upstream's entry; None: it is gone, or can't be read."""

    upstream: str
    entry: replica_sets.Entry | None
    readable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class KeyChange:
    """A key of this system; None: it was removed."""

    key: str
    stored: store_items.StoredKey | None
    revision: int


Change = RoutesChange | EntryChange | KeyChange


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes in their order; `revision` is where the next watch begins."""

    changes: Sequence[Change]
    revision: int


class Store(abc.ABC):
    """The platform's key-value store.

    All methods raise StoreUnavailableError if there is no answer in time, in
    which case a change may have been made, or be made yet.
    """

    @abc.abstractmethod
    async def read_all(self) -> Snapshot:
        """Returns everything of interest in the store."""

    @abc.abstractmethod
    async def watch(self, after: int, wait_s: float) -> Changes:
        """Returns the changes after revision `after`, once there is one.

        Raises:
          HistoryGoneError: if the store has forgotten them.
        """

    @abc.abstractmethod
    async def read_key(self, key: str) -> store_items.StoredKey | None:
        """Returns a key as it is now."""

    @abc.abstractmethod
    async def write_key(
        self, key: str, value: str | None, lease: int, expected: int | None
    ) -> int | None:
        """Writes a key and returns the revision, None if not `expected`.

        Raises:
          LeaseEndedError: if there is no such lease.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """Returns a new lease and how long it holds."""

    @abc.abstractmethod
    async def renew_lease(self, lease: int) -> float:
        """Renews a lease; returns how long it holds.

        Raises:
          LeaseEndedError: if it has ended.
        """

    @abc.abstractmethod
    async def end_lease(self, lease: int) -> None:
        """Ends a lease."""


class PromotionClient(abc.ABC):
    """Orders the platform to promote an upstream."""

    @abc.abstractmethod
    async def promote(
        self, database: str, upstream: str, holder: str, token: int
    ) -> str:
        """Promotes; returns "" if it was done, else why not.

        Raises:
          ConnectionLostError: if it may have been done.
        """


class UpstreamConnection(abc.ABC):
    """An open connection to an upstream."""

    @abc.abstractmethod
    def send(self, call: sessions.UpstreamCall) -> None:
        """Sends a call; one is in flight at a time."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the connection; nothing is heard of it any more."""


class UpstreamListener(abc.ABC):
    """Hears what happens on one connection to an upstream."""

    @abc.abstractmethod
    def on_reply(self, reply: sessions.UpstreamReply) -> None:
        """Takes the reply to the call in flight."""

    @abc.abstractmethod
    def on_connection_lost(
        self,
        error: errors.FescueshuntError,
        refusal: sessions.Failure | None,
    ) -> None:
        """Takes the end of the connection."""


class UpstreamConnector(abc.ABC):
    """Opens connections to upstreams."""

    @abc.abstractmethod
    async def connect(
        self, entry: replica_sets.Entry, listener: UpstreamListener
    ) -> UpstreamConnection:
        """Opens a connection.

        Raises:
          RefusedError: if the upstream turns it away.
          ConnectionLostError: if it can't be reached.
        """


class ClientConnection(abc.ABC):
    """A client's connection."""

    @abc.abstractmethod
    def welcome(self) -> None:
        """Tells the client that its session is open."""

    @abc.abstractmethod
    def reject(self, failure: sessions.Failure, detail: str) -> None:
        """Tells the client why it is not, and closes."""

    @abc.abstractmethod
    def answer(self, statement_id: str, answer: sessions.SessionAnswer) -> None:
        """Sends the answer to the statement in flight."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the connection after what was sent has left."""


class ClientListener(abc.ABC):
    """Hears what a client sends."""

    @abc.abstractmethod
    def on_session_started(self, route: str, account: str) -> None:
        """Takes the start of a session on `route` by a client account."""

    @abc.abstractmethod
    def on_statement(self, statement: sessions.Statement) -> None:
        """Takes a statement."""

    @abc.abstractmethod
    def on_session_ended(self) -> None:
        """Takes the end of the session."""


class FrontEnd(abc.ABC):
    """Accepts clients' connections."""

    @abc.abstractmethod
    def serving(
        self,
        address: str,
        accept: Callable[[ClientConnection], ClientListener],
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Serves while the block runs."""


class ReadinessEndpoint(abc.ABC):
    """Tells the balancer whether this host takes new sessions."""

    @abc.abstractmethod
    def serving(
        self, address: str, is_ready: Callable[[], bool]
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Serves while the block runs."""
