"""Abstract base classes for the platform services that the proxy uses.

A test bench or another database system can provide its own implementations.
docs/design/platform.md lists the assumptions about the platform.
"""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import contextlib

    from fescueshunt.core import document, items, upstream


class Session(abc.ABC):
    """A connection that runs statements, with one call in flight at a time."""

    @abc.abstractmethod
    async def execute(
        self, call: upstream.Call, timeout_s: float
    ) -> upstream.Reply:
        """Sends `call` and returns the reply to it.

        Raises:
          ConnectionLostError: if no reply arrives within `timeout_s` seconds.
        """

    @abc.abstractmethod
    async def wait_closed(self) -> None:
        """Waits until the connection has ended."""


class Upstreams(abc.ABC):
    """Connects to upstreams, the members of database groups."""

    @abc.abstractmethod
    def connect(
        self, address: str
    ) -> contextlib.AbstractAsyncContextManager[Session]:
        """Opens a connection for statements to the upstream at `address`.

        The connection counts towards the upstream's connection limit.

        Raises:
          ConnectionLostError: if the upstream can't be reached.
          OverloadedError: if the upstream's connection limit is reached.
        """

    @abc.abstractmethod
    async def control(
        self, address: str, call: upstream.Call, timeout_s: float
    ) -> upstream.Reply:
        """Sends a status, fence, promote or follow call; returns the reply.

        Raises:
          ConnectionLostError: if no reply arrives within `timeout_s` seconds.
        """


class SettingsStore(abc.ABC):
    """The platform's key-value store, which holds the settings document."""

    @abc.abstractmethod
    async def read(
        self, above_version: int, wait_s: float
    ) -> tuple[document.Document, int]:
        """Returns the document and its version.

        Waits up to `wait_s` seconds until the version exceeds `above_version`.

        Raises:
          StoreUnavailableError: if the store does not answer.
        """

    @abc.abstractmethod
    async def compare_and_swap(
        self, settings_document: document.Document, expected_version: int
    ) -> tuple[bool, int]:
        """Replaces the document if the store's version is `expected_version`.

        Returns whether the document was replaced, and the version that the
        store now holds.

        Raises:
          StoreUnavailableError: if the store does not answer; the document
            may have been replaced.
        """

    @abc.abstractmethod
    async def archive(self, settings_document: document.Document) -> None:
        """Archives an accepted document, overwriting a much older one.

        Raises:
          StoreUnavailableError: if the store does not answer.
        """

    @abc.abstractmethod
    async def read_archive(self, revision: int) -> document.Document:
        """Returns the document in the archive slot of `revision`.

        If a later document has overwritten that slot, returns the later one.

        Raises:
          StoreUnavailableError: if the store does not answer.
        """


class HostList(abc.ABC):
    """The platform's list of live and leaving hosts, which may be stale."""

    @abc.abstractmethod
    async def read(self) -> tuple[items.Host, ...]:
        """Returns the proxies in the list.

        Raises:
          StoreUnavailableError: if the platform does not answer.
        """
