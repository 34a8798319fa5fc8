"""Links: frames over one websocket, all that is due in a turn in one frame."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
from typing import TYPE_CHECKING

import websockets
from websockets.asyncio import client, connection, server

from fescueshunt import errors
from fescueshunt_wire import codec, failure

if TYPE_CHECKING:
    from collections.abc import (
        AsyncIterator,
        Awaitable,
        Callable,
        Iterator,
    )

    Unsendable = Callable[
        [codec.Envelope, errors.FrameError], codec.Envelope | None
    ]

OPEN_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 0.5
PING_INTERVAL_S = 0.5
PING_TIMEOUT_S = 1.0
MAX_PENDING_MESSAGES = 10_000
PROTOCOL_ERROR = 1002
TRY_AGAIN_LATER = 1013
# A frame over the bound is read, so that it gets a typed error; one over twice
# the bound only closes the connection.
MAX_READ_BYTES = 2 * codec.MAX_FRAME_BYTES

WEBSOCKET_OPTIONS = {
    "compression": None,
    "max_size": MAX_READ_BYTES,
    "open_timeout": OPEN_TIMEOUT_S,
    "close_timeout": CLOSE_TIMEOUT_S,
    "ping_interval": PING_INTERVAL_S,
    "ping_timeout": PING_TIMEOUT_S,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a listener grants.

    Attributes:
      links: how many links are open at once.
      first_s: seconds until the first whole frame has to be there.
      idle_s: seconds between two whole frames; None for any.
    """

    links: int = 4096
    first_s: float = 5.0
    idle_s: float | None = None


class Link:
    """One open connection that carries frames both ways.

    A link that goes silent for PING_INTERVAL_S + PING_TIMEOUT_S is closed.

    Attributes:
      unsendable: called with a message that no frame can hold, and why;
        returns what is sent in its place, or None.
    """

    def __init__(
        self, websocket: connection.Connection, limits: Limits | None = None
    ) -> None:
        self._websocket = websocket
        self._limits = limits
        self._pending: collections.deque[codec.Envelope] = collections.deque()
        self._wake = asyncio.Event()
        self.unsendable: Unsendable = _say_so

    @property
    def close_code(self) -> int | None:
        """The code with which the other end closed, None while it is open."""
        return self._websocket.close_code

    def post(self, envelope: codec.Envelope) -> None:
        """Queues a message; it leaves with all others of this loop turn.

        Raises:
          ConnectionLostError: if the other end does not read; the link is
            then closed.
        """
        if len(self._pending) >= MAX_PENDING_MESSAGES:
            self._websocket.transport.abort()
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
            for data in self._frames(batch):
                await self._websocket.send(data)

    def _frames(self, batch: list[codec.Envelope]) -> list[bytes]:
        """Returns `batch` as one frame, or as several where it is too large."""
        if not batch:
            return []
        try:
            return [codec.encode(batch)]
        except errors.FrameError as exc:
            if len(batch) == 1:
                other = self.unsendable(batch[0], exc)
                return [codec.encode((other,))] if other else []
            middle = len(batch) // 2
            return self._frames(batch[:middle]) + self._frames(batch[middle:])

    async def receive(self) -> AsyncIterator[codec.Envelope]:
        """Yields the messages that come in, until the connection ends.

        Raises:
          FrameError: for a frame that isn't valid or not there in time; the
            link is then closed.
        """
        limit_s = self._limits.first_s if self._limits else None
        while True:
            try:
                data = await self._read(limit_s)
            except websockets.ConnectionClosed:
                return
            for envelope in _decode(data):
                yield envelope
            limit_s = self._limits.idle_s if self._limits else None

    async def _read(self, limit_s: float | None) -> bytes | str:
        try:
            async with asyncio.timeout(limit_s):
                return await self._websocket.recv()
        except TimeoutError as exc:
            raise errors.FrameTimeoutError(f"{limit_s} s") from exc

    async def close(self, code: int = 1000) -> None:
        """Closes the connection."""
        await self._websocket.close(code)

    async def refuse(
        self, error: errors.FescueshuntError, code: int = PROTOCOL_ERROR
    ) -> None:
        """Tells the other end of `error` and closes the connection."""
        message = codec.Envelope(0, failure.Failure(error))
        with contextlib.suppress(websockets.ConnectionClosed, TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._websocket.send(codec.encode((message,)))
        await self.close(code)


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
    address: str,
    handle: Callable[[Link], Awaitable[None]],
    limits: Limits = Limits(),  # noqa: B008
) -> AsyncIterator[str]:
    """Serves each incoming link with `handle`; yields the bound address.

    A link whose frames aren't valid, or not there in time, gets the typed
    error and is closed, and so does one over the bound on links.
    """
    open_links: set[Link] = set()

    async def serve_one(websocket: server.ServerConnection) -> None:
        link = Link(websocket, limits)
        if len(open_links) >= limits.links:
            await link.refuse(errors.OverloadedError("links"), TRY_AGAIN_LATER)
            return
        open_links.add(link)
        try:
            async with _sending(link):
                await _handle_frames(link, handle)
        finally:
            open_links.discard(link)

    host, port = address.rsplit(":", 1)
    async with server.serve(
        serve_one, host, int(port), **WEBSOCKET_OPTIONS
    ) as listener:
        bound = listener.sockets[0].getsockname()
        yield f"{bound[0]}:{bound[1]}"


async def _handle_frames(
    link: Link, handle: Callable[[Link], Awaitable[None]]
) -> None:
    refused: list[errors.FrameError] = []
    try:
        await handle(link)
    except* errors.FrameError as group:
        refused.extend(_leaves(group))
    for exc in refused[:1]:
        await link.refuse(exc)


def _leaves(group: BaseExceptionGroup) -> Iterator[BaseException]:
    for exc in group.exceptions:
        if isinstance(exc, BaseExceptionGroup):
            yield from _leaves(exc)
        else:
            yield exc


def _say_so(
    envelope: codec.Envelope, error: errors.FrameError
) -> codec.Envelope | None:
    """Replaces an answer that can't be sent by its error."""
    if envelope.seq == 0:
        return None
    return codec.Envelope(envelope.seq, failure.Failure(error))


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
