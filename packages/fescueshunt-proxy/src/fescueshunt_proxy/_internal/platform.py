"""What the proxy needs of the platform, one abstract base class each.

Another bench, or another kind of database, brings its own implementations.
The assumptions stand in docs/design/platform.md.
"""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import contextlib

    from fescueshunt.core import document, items, upstream


class Session(abc.ABC):
    """One connection for statements, with one call in flight."""

    @abc.abstractmethod
    async def execute(
        self, call: upstream.Call, timeout_s: float
    ) -> upstream.Reply:
        """Sends `call` and returns its reply.

        Raises:
          ConnectionLostError: if no reply comes within `timeout_s` seconds.
        """

    @abc.abstractmethod
    async def wait_closed(self) -> None:
        """Returns once the connection has ended."""


class Upstreams(abc.ABC):
    """Access to the members of database groups."""

    @abc.abstractmethod
    def connect(
        self, address: str
    ) -> contextlib.AbstractAsyncContextManager[Session]:
        """Opens a connection for statements; it counts against the bound.

        Raises:
          ConnectionLostError: if the upstream can't be reached.
          OverloadedError: if it has no connection left.
        """

    @abc.abstractmethod
    async def control(
        self, address: str, call: upstream.Call, timeout_s: float
    ) -> upstream.Reply:
        """Sends a status, fence, promote or follow call.

        Raises:
          ConnectionLostError: if no reply comes within `timeout_s` seconds.
        """


class SettingsStore(abc.ABC):
    """The platform's key-value service, as the home of the settings."""

    @abc.abstractmethod
    async def read(
        self, above: int, wait_s: float
    ) -> tuple[document.Document, int]:
        """Returns the document and its version.

        Waits up to `wait_s` seconds for a version above `above`.

        Raises:
          StoreUnavailableError: if the store doesn't answer.
        """

    @abc.abstractmethod
    async def swap(
        self, value: document.Document, expected: int
    ) -> tuple[bool, int]:
        """Sets the document if its version is `expected`.

        Returns whether it was set, and the version that holds now.

        Raises:
          StoreUnavailableError: if the store doesn't answer; it may be set.
        """

    @abc.abstractmethod
    async def archive(self, value: document.Document) -> None:
        """Keeps an accepted document, in place of one much older.

        Raises:
          StoreUnavailableError: if the store doesn't answer.
        """

    @abc.abstractmethod
    async def read_archive(self, revision: int) -> document.Document:
        """Returns the document in the archive's place for `revision`.

        Raises:
          StoreUnavailableError: if the store doesn't answer.
        """


class HostList(abc.ABC):
    """The platform's lagging list of live and leaving hosts."""

    @abc.abstractmethod
    async def read(self) -> tuple[items.Host, ...]:
        """Returns the proxies on the list.

        Raises:
          StoreUnavailableError: if the platform doesn't answer.
        """
