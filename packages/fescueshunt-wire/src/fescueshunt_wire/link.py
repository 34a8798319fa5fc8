"""Links: frames over one websocket, all that is due in a turn in one frame."""

from __future__ import annotations

import asyncio
import collections
import contextlib
from typing import TYPE_CHECKING

import websockets
from websockets.asyncio import client, connection, server

from fescueshunt import errors
from fescueshunt_wire import codec, failure

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

OPEN_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 0.5
PING_INTERVAL_S = 0.5
PING_TIMEOUT_S = 1.0
MAX_PENDING_MESSAGES = 10_000
PROTOCOL_ERROR = 1002

WEBSOCKET_OPTIONS = {
    "compression": None,
    "max_size": codec.MAX_FRAME_BYTES,
    "open_timeout": OPEN_TIMEOUT_S,
    "close_timeout": CLOSE_TIMEOUT_S,
    "ping_interval": PING_INTERVAL_S,
    "ping_timeout": PING_TIMEOUT_S,
}


class Link:
    """One open connection that carries frames both ways.

    A link that goes silent for PING_INTERVAL_S + PING_TIMEOUT_S is closed.
    """

    def __init__(self, websocket: connection.Connection) -> None:
        self._websocket = websocket
        self._pending: collections.deque[codec.Envelope] = collections.deque()
        self._wake = asyncio.Event()

    def post(self, envelope: codec.Envelope) -> None:
        """Queues a message; it leaves with all others of this loop turn.

        Raises:
          ConnectionLostError: if the other end does not read.
        """
        if len(self._pending) >= MAX_PENDING_MESSAGES:
            raise errors.ConnectionLostError("the other end does not read")
        self._pending.append(envelope)
        self._wake.set()

    async def send_pending(self) -> None:
        """Sends what is posted until the connection ends."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            batch = list(self._pending)
            self._pending.clear()
            for data in _frames(batch):
                await self._websocket.send(data)

    async def receive(self) -> AsyncIterator[codec.Envelope]:
        """Yields the messages that come in, until the connection ends.

        Raises:
          FrameError: for a frame that isn't valid; the link is then closed.
        """
        try:
            async for data in self._websocket:
                for envelope in _decode(data):
                    yield envelope
        except websockets.ConnectionClosed:
            return

    async def close(self, code: int = 1000) -> None:
        """Closes the connection."""
        await self._websocket.close(code)

    async def refuse(self, error: errors.FescueshuntError) -> None:
        """Tells the other end of `error` and closes the connection."""
        message = codec.Envelope(0, failure.Failure(error))
        with contextlib.suppress(websockets.ConnectionClosed):
            await self._websocket.send(codec.encode((message,)))
        await self.close(PROTOCOL_ERROR)


@contextlib.asynccontextmanager
async def dial(address: str) -> AsyncIterator[Link]:
    """Opens a link to `address` (IP number:port) and closes it in the end.

    Raises:
      ConnectionLostError: if the address can't be reached.
    """
    try:
        websocket = await client.connect(
            f"ws://{address}/", proxy=None, **WEBSOCKET_OPTIONS
        )
    except (OSError, TimeoutError, websockets.WebSocketException) as exc:
        raise errors.ConnectionLostError(address) from exc
    link = Link(websocket)
    async with _sending(link):
        try:
            yield link
        finally:
            await link.close()


@contextlib.asynccontextmanager
async def listen(
    address: str, handle: Callable[[Link], Awaitable[None]]
) -> AsyncIterator[str]:
    """Serves each incoming link with `handle`; yields the bound address.

    A link whose frames aren't valid gets the typed error and is closed.
    """

    async def serve_one(websocket: server.ServerConnection) -> None:
        link = Link(websocket)
        async with _sending(link):
            try:
                await handle(link)
            except errors.FrameError as exc:
                await link.refuse(exc)

    host, port = address.rsplit(":", 1)
    async with server.serve(
        serve_one, host, int(port), **WEBSOCKET_OPTIONS
    ) as listener:
        bound = listener.sockets[0].getsockname()
        yield f"{bound[0]}:{bound[1]}"


@contextlib.asynccontextmanager
async def _sending(link: Link) -> AsyncIterator[None]:
    sender = asyncio.create_task(_send_quietly(link))
    try:
        yield
    finally:
        sender.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sender


async def _send_quietly(link: Link) -> None:
    with contextlib.suppress(websockets.ConnectionClosed):
        await link.send_pending()


def _decode(data: bytes | str) -> list[codec.Envelope]:
    if isinstance(data, str):
        raise errors.FrameError("a text frame")
    return codec.decode(data)


def _frames(batch: list[codec.Envelope]) -> list[bytes]:
    """Returns `batch` as one frame, or as several where it is too large."""
    try:
        return [codec.encode(batch)]
    except errors.FrameTooLargeError as exc:
        if len(batch) == 1:
            error = failure.Failure(errors.FrameTooLargeError(exc.detail))
            return [codec.encode((codec.Envelope(batch[0].seq, error),))]
        middle = len(batch) // 2
        return _frames(batch[:middle]) + _frames(batch[middle:])
