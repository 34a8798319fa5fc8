"""Abstract base classes for the connections of clients."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import contextlib
    from collections.abc import Callable

    from fescueshunt.core import accounts, client_limits, failures, sessions


class ClientConnection(abc.ABC):
    """The sending side of a client's connection."""

    @property
    @abc.abstractmethod
    def address(self) -> str:
        """The client's address, as `IP:PORT`; "" if it is not known."""

    @abc.abstractmethod
    def drop(self) -> None:
        """Ends the connection at once, without sending what is buffered."""

    @abc.abstractmethod
    def welcome(self) -> None:
        """Notifies the client that its session is open."""

    @abc.abstractmethod
    def reject(self, failure: failures.Failure, detail: str) -> None:
        """Sends the client the reason for refusing its session; disconnects."""

    @abc.abstractmethod
    def answer(self, statement_id: str, answer: sessions.SessionAnswer) -> None:
        """Sends the answer to the statement in flight."""

    @abc.abstractmethod
    def pause_reading(self) -> None:
        """Stops reading what the client sends."""

    @abc.abstractmethod
    def resume_reading(self) -> None:
        """Reads again what the client sends."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the connection once all buffered data is sent.

        What the client has already sent is passed on first.
        """


class ClientListener(abc.ABC):
    """Receives the events of one client connection."""

    @abc.abstractmethod
    def on_session_started(self, route: str, key: accounts.KeyDigest) -> None:
        """Handles a client's request to start a session on `route`."""

    @abc.abstractmethod
    def on_statement(self, statement: sessions.Statement) -> None:
        """Handles a statement of the client."""

    @abc.abstractmethod
    def on_use(self, held_bytes: int, wait: client_limits.Wait | None) -> None:
        """Records the memory that the client holds, and what is awaited."""

    @abc.abstractmethod
    def try_run(self, message_bytes: int) -> bool:
        """Returns whether there is memory to run a message of this size."""

    @abc.abstractmethod
    def end_run(self) -> None:
        """Records that the message that ran is answered."""

    @abc.abstractmethod
    def on_malformed_request(self, detail: str) -> None:
        """Handles a request that can't be decoded."""

    @abc.abstractmethod
    def on_session_ended(self) -> None:
        """Handles the end of the session; the client still reads answers."""

    @abc.abstractmethod
    def on_disconnected(self) -> None:
        """Handles the end of the connection, once nothing is left to send."""


class Listener(abc.ABC):
    """A listening socket."""

    @abc.abstractmethod
    def close(self) -> None:
        """Stops listening.

        The connections already made stay open; those that still wait are
        accepted.
        """


class FrontEnd(abc.ABC):
    """Server that accepts client connections."""

    @abc.abstractmethod
    def serving(
        self,
        address: str,
        accept: Callable[[ClientConnection], ClientListener],
    ) -> contextlib.AbstractAsyncContextManager[Listener]:
        """Listens on `address` until the context manager exits.

        Each new connection is passed to `accept`, which returns the listener
        for its events. The context manager yields the listening socket.
        """
