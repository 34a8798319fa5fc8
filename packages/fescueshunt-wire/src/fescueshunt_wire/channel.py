"""Remote procedure calls over one connection."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING, Any

from fescueshunt import errors
from fescueshunt_wire import codec, failure, transport

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable


class Channel:
    """The client side of a connection; answers may arrive in any order."""

    def __init__(self, conn: transport.Connection) -> None:
        self._conn = conn
        self._sequence_numbers = itertools.count(1)
        self._pending_calls: dict[int, asyncio.Future[Any]] = {}
        self._closed = asyncio.Event()
        conn.on_encode_error = self._handle_encode_error

    async def call(self, message: Any, timeout_s: float) -> Any:
        """Sends `message` and returns the answer to it.

        Raises:
          ConnectionLostError: if the connection is closed, or if no answer
            arrives within `timeout_s` seconds.
          StoppingError: if the other end stops and has ignored `message`.
          FrameError: if `message` cannot be encoded; it was not sent.
          FescueshuntError: the error that the peer sent as its answer.
        """
        if self._closed.is_set():
            raise errors.ConnectionLostError("closed")
        seq = next(self._sequence_numbers)
        fut = asyncio.get_running_loop().create_future()
        self._pending_calls[seq] = fut
        self._conn.enqueue(codec.Envelope(seq, message))
        try:
            async with asyncio.timeout(timeout_s):
                answer = await fut
        except TimeoutError as exc:
            raise errors.ConnectionLostError("timeout") from exc
        finally:
            self._pending_calls.pop(seq, None)
        if isinstance(answer, failure.Failure):
            raise answer.error
        return answer

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed."""
        return self._closed.is_set()

    async def wait_closed(self) -> None:
        """Waits until the connection is closed."""
        await self._closed.wait()

    async def read_answers(self) -> None:
        """Passes answers to their calls until the connection is closed."""
        try:
            async for envelope in self._conn.receive():
                self._dispatch_answer(envelope)
        except errors.FrameError as exc:
            self._fail_pending_calls(errors.ConnectionLostError(str(exc)))
        finally:
            self._closed.set()
            self._fail_pending_calls(self._close_error())

    def _dispatch_answer(self, envelope: codec.Envelope) -> None:
        if envelope.seq == 0 and isinstance(envelope.message, failure.Failure):
            raise errors.FrameError(str(envelope.message.error))
        fut = self._pending_calls.get(envelope.seq)
        if fut is not None and not fut.done():
            fut.set_result(envelope.message)

    def _close_error(self) -> errors.FescueshuntError:
        """Returns what the close of the connection says of pending calls."""
        if self._conn.is_closed_with_all_answered:
            return errors.StoppingError()
        return errors.ConnectionLostError("closed")

    def _fail_pending_calls(self, error: errors.FescueshuntError) -> None:
        for fut in self._pending_calls.values():
            if not fut.done():
                fut.set_exception(error)

    def _handle_encode_error(
        self, envelope: codec.Envelope, error: errors.FrameError
    ) -> codec.Envelope | None:
        fut = self._pending_calls.get(envelope.seq)
        if fut is not None and not fut.done():
            fut.set_exception(error)
        return None


@contextlib.asynccontextmanager
async def connect(address: str) -> AsyncIterator[Channel]:
    """Opens a channel to `address`, which is closed when the context exits.

    Raises:
      ConnectionLostError: if the connection cannot be opened.
    """
    async with transport.connect(address) as conn:
        channel = Channel(conn)
        reader = asyncio.create_task(channel.read_answers())
        try:
            yield channel
        finally:
            reader.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await reader


async def serve_calls(
    conn: transport.Connection, handle: Callable[[Any], Awaitable[Any]]
) -> None:
    """Serves calls concurrently until the connection is closed.

    Args:
      conn: the connection on which the calls arrive.
      handle: returns the answer to a message, or None to send no answer. A
        FescueshuntError that it raises is sent as the answer.

    Raises:
      FrameError: if a frame is invalid or does not arrive in time.
    """
    async with asyncio.TaskGroup() as task_group:
        running: set[asyncio.Task[None]] = set()
        async for envelope in conn.receive():
            task = task_group.create_task(_serve_call(conn, envelope, handle))
            running.add(task)
            task.add_done_callback(running.discard)
        for task in running:
            task.cancel()


async def _serve_call(
    conn: transport.Connection,
    envelope: codec.Envelope,
    handle: Callable[[Any], Awaitable[Any]],
) -> None:
    try:
        answer = await handle(envelope.message)
    except errors.FescueshuntError as exc:
        answer = failure.Failure(exc)
    if answer is not None:
        with contextlib.suppress(errors.ConnectionLostError):
            conn.enqueue(codec.Envelope(envelope.seq, answer))
