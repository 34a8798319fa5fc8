"""Abstract base classes for connections to upstreams."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fescueshunt import errors
    from fescueshunt.core import failures, replica_sets, sessions


class UpstreamConnection(abc.ABC):
    """An open connection to an upstream."""

    @abc.abstractmethod
    def send(self, call: sessions.UpstreamCall) -> None:
        """Sends a call; at most one may be in flight at a time."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the connection; its listener is not called any more."""


class UpstreamListener(abc.ABC):
    """Receives the events of one connection to an upstream."""

    @abc.abstractmethod
    def on_reply(self, reply: sessions.UpstreamReply) -> None:
        """Handles the reply to the call in flight."""

    @abc.abstractmethod
    def on_connection_lost(
        self,
        error: errors.FescueshuntError,
        refusal: failures.Failure | None,
    ) -> None:
        """Handles a failure to connect, or the loss of the connection.

        Args:
          error: why the connection failed.
          refusal: the reason that the upstream gave, or None.
        """


class UpstreamConnector(abc.ABC):
    """Opens connections to upstreams."""

    @abc.abstractmethod
    async def connect(
        self,
        entry: replica_sets.UpstreamEntry,
        account: str,
        listener: UpstreamListener,
    ) -> UpstreamConnection:
        """Connects to the upstream of `entry` for `account`.

        The account is "" for a connection that belongs to none.

        Raises:
          RefusedError: if the upstream refuses the connection.
          ConnectionLostError: if the upstream can't be reached.
        """
