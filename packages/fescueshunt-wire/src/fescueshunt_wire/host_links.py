"""WebSocket links between hosts."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import websockets
from websockets.asyncio import client, connection, server

from fescueshunt import errors
from fescueshunt_wire import abrupt_close, host_messages, websocket_server

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

    from fescueshunt.core import peer_items

OPEN_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 0.2
OPTIONS = {
    "compression": None,
    "max_size": host_messages.MAX_FRAME_BYTES,
    "open_timeout": OPEN_TIMEOUT_S,
    "close_timeout": CLOSE_TIMEOUT_S,
    # The core asks hosts for a sign of life only while they owe an answer.
    "ping_interval": None,
}


class Link:
    """A link to another host.

    Attributes:
      host: the name of the host that opened the link; "" for the other end.
    """

    def __init__(self, websocket: connection.Connection) -> None:
        self._websocket = websocket
        self.host = ""

    async def send(
        self, messages: Sequence[peer_items.PeerMessage | host_messages.Hello]
    ) -> None:
        """Sends messages.

        Raises:
          ConnectionLostError: if the link has ended.
          FrameTooLargeError: if a message is too large; none is sent.
        """
        try:
            for frame in host_messages.encode(messages):
                await self._websocket.send(frame)
        except errors.FrameTooLargeError:
            self.abort()
            raise
        except websockets.ConnectionClosed as exc:
            raise errors.ConnectionLostError(str(exc)) from exc

    async def receive(
        self,
    ) -> AsyncIterator[peer_items.PeerMessage | host_messages.Hello]:
        """Yields the messages of the other host until the link ends.

        Raises:
          FrameError: if a frame is not valid.
        """
        try:
            async for data in self._websocket:
                if isinstance(data, str):
                    raise errors.FrameError("expected a binary frame")
                for message in host_messages.decode(data):
                    yield message
        except websockets.ConnectionClosed:
            return

    def abort(self) -> None:
        """Ends the link at once."""
        self._websocket.transport.abort()


@contextlib.asynccontextmanager
async def connect(address: str, own_name: str) -> AsyncIterator[Link]:
    """Opens a link to the host at `address`; ends it at once on exit.

    What the kernel has not delivered by then is dropped, so that no call runs
    after this host has given it up.

    Raises:
      ConnectionLostError: if the host can't be reached.
    """
    try:
        websocket = await client.connect(
            f"ws://{address}/", proxy=None, **OPTIONS
        )
    except (OSError, ValueError, websockets.WebSocketException) as exc:
        raise errors.ConnectionLostError(address) from exc
    link = Link(websocket)
    abrupt_close.set_reset_on_close(websocket.transport, True)
    try:
        await link.send([host_messages.Hello(own_name)])
        yield link
    finally:
        link.abort()


async def listen(
    address: str, serve: Callable[[Link], Awaitable[None]]
) -> None:
    """Passes each link of another host to `serve`, until cancelled.

    Raises:
      OSError: if the address can't be used.
    """

    async def serve_connection(websocket: server.ServerConnection) -> None:
        link = Link(websocket)
        abrupt_close.set_reset_on_close(websocket.transport, True)
        try:
            async with contextlib.aclosing(link.receive()) as messages:
                hello = await anext(messages, None)
            if isinstance(hello, host_messages.Hello):
                link.host = hello.host
                await serve(link)
        except errors.FescueshuntError:
            link.abort()

    async with websocket_server.serving(
        address, serve_connection, OPTIONS
    ) as listener:
        await listener.serve_forever()
