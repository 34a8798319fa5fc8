"""Transport of messages between processes, in frames over WebSocket.

Messages that are queued during one iteration of the event loop share a frame.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
from typing import TYPE_CHECKING

import websockets
from websockets.asyncio import client, connection, server

from fescueshunt import errors
from fescueshunt_wire import codec, failure, websocket_server

if TYPE_CHECKING:
    from collections.abc import (
        AsyncIterator,
        Awaitable,
        Callable,
        Iterator,
    )

    EncodeErrorHandler = Callable[
        [codec.Envelope, errors.FrameError], codec.Envelope | None
    ]

OPEN_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 0.5
PING_INTERVAL_S = 0.5
PING_TIMEOUT_S = 1.0
MAX_PENDING_MESSAGES = 10_000
# WebSocket close codes.
GOING_AWAY = 1001
PROTOCOL_ERROR = 1002
TRY_AGAIN_LATER = 1013
# Sent only behind the answers to all requests that had an effect or will have
# one. WebSocket libraries close with GOING_AWAY also when a process fails.
ALL_ANSWERED = 4001
# A frame of up to twice the maximum size is read, so that the peer receives a
# typed error. A larger frame only closes the connection.
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
class ListenerLimits:
    """The limits that a listener enforces on its connections.

    Attributes:
      max_connections: the maximum number of open connections.
      first_frame_timeout_s: the maximum time until the first frame of a
        connection has arrived completely, in seconds.
      idle_timeout_s: the maximum time between two complete frames, in seconds;
        None for no limit.
      answer_timeout_s: the maximum time that a connection is kept open for its
        pending answers, and then until the peer has read them, in seconds.
    """

    max_connections: int = 4096
    first_frame_timeout_s: float = 5.0
    idle_timeout_s: float | None = None
    answer_timeout_s: float = 6.0


class Connection:
    """An open WebSocket connection that carries frames in both directions.

    The connection is closed if the peer has been silent for PING_INTERVAL_S +
    PING_TIMEOUT_S.

    Attributes:
      on_encode_error: called with a message that cannot be encoded and with
        the error; returns the message to send instead, or None to send none.
    """

    def __init__(
        self,
        websocket: connection.Connection,
        limits: ListenerLimits | None = None,
    ) -> None:
        self._websocket = websocket
        self._limits = limits
        self._answer_timeout_s = (limits or ListenerLimits()).answer_timeout_s
        self._pending: collections.deque[codec.Envelope] = collections.deque()
        self._has_pending = asyncio.Event()
        self._is_sending = False
        self._unanswered: set[int] = set()
        self._is_answering = False
        self._is_finished = False
        self._progress = asyncio.Event()
        self.on_encode_error: EncodeErrorHandler = _replace_with_failure

    @property
    def close_code(self) -> int | None:
        """The WebSocket close code, or None while the connection is open."""
        return self._websocket.close_code

    @property
    def is_closed_with_all_answered(self) -> bool:
        """Whether the other end has closed and ran nothing unanswered."""
        return self._websocket.close_code == ALL_ANSWERED

    def enqueue(self, envelope: codec.Envelope) -> None:
        """Queues a message for sending.

        Messages queued in one iteration of the event loop are sent together.

        Raises:
          ConnectionLostError: if MAX_PENDING_MESSAGES are queued because the
            peer does not read; the connection is then aborted.
        """
        if len(self._pending) >= MAX_PENDING_MESSAGES:
            self._websocket.transport.abort()
            raise errors.ConnectionLostError(
                "the other end does not read its messages"
            )
        self._unanswered.discard(envelope.seq)
        self._pending.append(envelope)
        self._has_pending.set()

    def expect_answer(self, seq: int) -> None:
        """Records that an answer with `seq` will be queued for sending."""
        self._unanswered.add(seq)

    @contextlib.asynccontextmanager
    async def answering(self) -> AsyncIterator[None]:
        """Sends all expected answers before the context exits.

        The caller calls `expect_answer` for each request that it receives
        within the context. An invalid frame ends the context too, as the
        requests before it must be answered. A connection that closes, or a
        time-out, ends the wait.
        """
        self._is_answering = True
        try:
            yield
        except errors.FrameError:
            await self._send_expected_answers()
            raise
        await self._send_expected_answers()

    async def finish(self) -> None:
        """Sends all expected answers, then closes the connection.

        A frame that arrives after the last answer was sent is ignored. The
        close code ALL_ANSWERED tells the peer that none of its requests in such
        frames was run. It is sent only if each request is within `answering`
        and no answer is missing after the time-out. Only the peer's reply to
        the close shows that it has read its answers, so it may take as long.
        """
        await self._send_expected_answers()
        self._is_finished = True
        all_answered = self._is_answering and not self._has_unsent_answers()
        self._websocket.close_timeout = self._answer_timeout_s
        await self.close(ALL_ANSWERED if all_answered else GOING_AWAY)

    async def _send_expected_answers(self) -> None:
        closed = asyncio.ensure_future(self._websocket.wait_closed())
        try:
            async with asyncio.timeout(self._answer_timeout_s):
                while self._has_unsent_answers() and not closed.done():
                    await self._wait_for_progress(closed)
        except TimeoutError:
            pass
        finally:
            closed.cancel()

    def _has_unsent_answers(self) -> bool:
        return bool(self._unanswered or self._pending or self._is_sending)

    async def _wait_for_progress(self, closed: asyncio.Future[None]) -> None:
        """Waits until messages were sent, or the connection has closed."""
        self._progress.clear()
        progress = asyncio.ensure_future(self._progress.wait())
        try:
            await asyncio.wait(
                (progress, closed), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            progress.cancel()

    async def send_pending(self) -> None:
        """Sends queued messages until the connection is closed."""
        while True:
            await self._has_pending.wait()
            self._has_pending.clear()
            batch = list(self._pending)
            self._pending.clear()
            self._is_sending = True
            for data in self._encode(batch):
                await self._websocket.send(data)
            self._is_sending = False
            self._progress.set()

    def _encode(self, batch: list[codec.Envelope]) -> list[bytes]:
        """Encodes `batch` as one frame, or as several if it is too large."""
        if not batch:
            return []
        try:
            return [codec.encode(batch)]
        except errors.FrameError as exc:
            if len(batch) == 1:
                replacement = self.on_encode_error(batch[0], exc)
                return [codec.encode((replacement,))] if replacement else []
            middle = len(batch) // 2
            return self._encode(batch[:middle]) + self._encode(batch[middle:])

    async def receive(self) -> AsyncIterator[codec.Envelope]:
        """Yields the messages from the peer until the connection is closed.

        Raises:
          FrameError: if a frame is invalid or does not arrive in time; a
            listener then closes the connection.
        """
        timeout_s = self._limits.first_frame_timeout_s if self._limits else None
        while True:
            try:
                data = await self._read_frame(timeout_s)
            except websockets.ConnectionClosed:
                return
            if self._is_finished:
                return
            for envelope in _decode_frame(data):
                yield envelope
            timeout_s = self._limits.idle_timeout_s if self._limits else None

    async def _read_frame(self, timeout_s: float | None) -> bytes | str:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._websocket.recv()
        except TimeoutError as exc:
            raise errors.FrameTimeoutError(
                f"{timeout_s} s without a complete frame"
            ) from exc

    async def close(self, code: int = 1000) -> None:
        """Closes the connection."""
        await self._websocket.close(code)

    async def close_with_error(
        self, error: errors.FescueshuntError, code: int = PROTOCOL_ERROR
    ) -> None:
        """Sends `error` to the peer, then closes the connection."""
        message = codec.Envelope(0, failure.Failure(error))
        with contextlib.suppress(websockets.ConnectionClosed, TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._websocket.send(codec.encode((message,)))
        await self.close(code)


@contextlib.asynccontextmanager
async def connect(address: str) -> AsyncIterator[Connection]:
    """Opens a connection, which is closed when the context exits.

    Args:
      address: the IP address and port of the listener, as `IP:PORT`.

    Raises:
      ConnectionLostError: if the connection cannot be opened, or if `address`
        is invalid.
    """
    try:
        websocket = await client.connect(
            f"ws://{address}/", proxy=None, **WEBSOCKET_OPTIONS
        )
    except (OSError, ValueError, websockets.WebSocketException) as exc:
        raise errors.ConnectionLostError(address) from exc
    conn = Connection(websocket)
    async with _sender_running(conn):
        try:
            yield conn
        finally:
            await conn.close()


@contextlib.asynccontextmanager
async def listen(
    address: str,
    handle: Callable[[Connection], Awaitable[None]],
    limits: ListenerLimits = ListenerLimits(),  # noqa: B008
) -> AsyncIterator[str]:
    """Runs a listener that passes each accepted connection to `handle`.

    The listener sends a typed error and closes the connection if one of its
    frames is invalid or does not arrive in time, or if too many connections are
    open. When the context exits, it accepts no more connections, and closes
    each one once all expected answers have been sent.

    Yields:
      The address that the listener is bound to, as `IP:PORT`.
    """
    open_connections: set[Connection] = set()

    async def serve_connection(websocket: server.ServerConnection) -> None:
        conn = Connection(websocket, limits)
        if len(open_connections) >= limits.max_connections:
            await conn.close_with_error(
                errors.OverloadedError("too many open links"),
                TRY_AGAIN_LATER,
            )
            return
        open_connections.add(conn)
        try:
            async with _sender_running(conn):
                await _handle_connection(conn, handle)
        finally:
            open_connections.discard(conn)

    async with websocket_server.serving(
        address, serve_connection, WEBSOCKET_OPTIONS
    ) as listener:
        host, port = listener.sockets[0].getsockname()[:2]
        yield f"{host}:{port}"
        listener.server.close()
        await asyncio.gather(*(conn.finish() for conn in open_connections))


async def _handle_connection(
    conn: Connection, handle: Callable[[Connection], Awaitable[None]]
) -> None:
    frame_errors: list[errors.FrameError] = []
    try:
        await handle(conn)
    except* errors.FrameError as group:
        frame_errors.extend(_flatten(group))
    for exc in frame_errors[:1]:
        await conn.close_with_error(exc)


def _flatten(group: BaseExceptionGroup) -> Iterator[BaseException]:
    for exc in group.exceptions:
        if isinstance(exc, BaseExceptionGroup):
            yield from _flatten(exc)
        else:
            yield exc


def _replace_with_failure(
    envelope: codec.Envelope, error: errors.FrameError
) -> codec.Envelope | None:
    """Returns an answer that reports `error`, or None for a one-way message."""
    if envelope.seq == 0:
        return None
    return codec.Envelope(envelope.seq, failure.Failure(error))


@contextlib.asynccontextmanager
async def _sender_running(conn: Connection) -> AsyncIterator[None]:
    sender = asyncio.create_task(_send_until_closed(conn))
    try:
        yield
    finally:
        sender.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sender


async def _send_until_closed(conn: Connection) -> None:
    with contextlib.suppress(websockets.ConnectionClosed):
        await conn.send_pending()


def _decode_frame(data: bytes | str) -> list[codec.Envelope]:
    if isinstance(data, str):
        raise errors.FrameError("expected a binary frame, got a text frame")
    return codec.decode(data)
