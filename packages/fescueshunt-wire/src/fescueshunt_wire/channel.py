"""Channels: calls and their answers over one link."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING, Any

from fescueshunt import errors
from fescueshunt_wire import codec, failure, link

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable


class Channel:
    """The calling end of a link. Answers may come in any order."""

    def __init__(self, conn: link.Link) -> None:
        self._link = conn
        self._seqs = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._closed = asyncio.Event()
        conn.unsendable = self._refuse_unsent

    async def call(self, message: Any, timeout_s: float) -> Any:
        """Sends `message` and returns the answer to it.

        Raises:
          ConnectionLostError: if no answer comes within `timeout_s` seconds.
          FrameError: if no frame can hold `message`; it was not sent.
          FescueshuntError: the typed failure that came as the answer.
        """
        if self._closed.is_set():
            raise errors.ConnectionLostError("closed")
        seq = next(self._seqs)
        fut = asyncio.get_running_loop().create_future()
        self._waiting[seq] = fut
        self._link.post(codec.Envelope(seq, message))
        try:
            async with asyncio.timeout(timeout_s):
                answer = await fut
        except TimeoutError as exc:
            raise errors.ConnectionLostError("timeout") from exc
        finally:
            self._waiting.pop(seq, None)
        if isinstance(answer, failure.Failure):
            raise answer.error
        return answer

    @property
    def is_closed(self) -> bool:
        """Whether the link has ended."""
        return self._closed.is_set()

    async def wait_closed(self) -> None:
        """Returns once the link has ended."""
        await self._closed.wait()

    async def read_answers(self) -> None:
        """Hands answers to their calls until the link ends."""
        try:
            async for envelope in self._link.receive():
                self._take(envelope)
        except errors.FrameError as exc:
            self._fail(str(exc))
        finally:
            self._closed.set()
            self._fail("closed")

    def _take(self, envelope: codec.Envelope) -> None:
        if envelope.seq == 0 and isinstance(envelope.message, failure.Failure):
            raise errors.FrameError(str(envelope.message.error))
        fut = self._waiting.get(envelope.seq)
        if fut is not None and not fut.done():
            fut.set_result(envelope.message)

    def _fail(self, reason: str) -> None:
        """Ends the calls in flight; what was sent may have had its effect."""
        for fut in self._waiting.values():
            if not fut.done():
                fut.set_exception(errors.ConnectionLostError(reason))

    def _refuse_unsent(
        self, envelope: codec.Envelope, error: errors.FrameError
    ) -> codec.Envelope | None:
        fut = self._waiting.get(envelope.seq)
        if fut is not None and not fut.done():
            fut.set_exception(error)
        return None


@contextlib.asynccontextmanager
async def connect(address: str) -> AsyncIterator[Channel]:
    """Opens a channel to `address` and closes it in the end.

    Raises:
      ConnectionLostError: if the address can't be reached.
    """
    async with link.dial(address) as conn:
        channel = Channel(conn)
        reader = asyncio.create_task(channel.read_answers())
        try:
            yield channel
        finally:
            reader.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await reader


async def answer_calls(
    conn: link.Link, handle: Callable[[Any], Awaitable[Any]]
) -> None:
    """Serves the calls of a link, many at a time, until it ends.

    `handle` returns the answer to a message, or None for no answer at all.
    A FescueshuntError that it raises is sent as the answer.

    Raises:
      FrameError: for a frame that isn't valid.
    """
    async with asyncio.TaskGroup() as tasks:
        running: set[asyncio.Task[None]] = set()
        async for envelope in conn.receive():
            task = tasks.create_task(_answer(conn, envelope, handle))
            running.add(task)
            task.add_done_callback(running.discard)
        for task in running:
            task.cancel()


async def _answer(
    conn: link.Link,
    envelope: codec.Envelope,
    handle: Callable[[Any], Awaitable[Any]],
) -> None:
    try:
        answer = await handle(envelope.message)
    except errors.FescueshuntError as exc:
        answer = failure.Failure(exc)
    if answer is not None:
        with contextlib.suppress(errors.ConnectionLostError):
            conn.post(codec.Envelope(envelope.seq, answer))
