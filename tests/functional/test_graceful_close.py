"""Closes of real connections whose process stands still in between."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import time
from typing import TYPE_CHECKING

import pytest

from fescueshunt_wire import graceful_close

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

STATEMENT = b"QUERY q1 READ a\r\n"
PAUSE_S = graceful_close.LINGER_S * 2
TIMEOUT_S = 5.0
# Longer than a busy process needs for its last looks at what has arrived.
LAST_LOOKS_TIMEOUT_S = 30.0
# More than the kernel holds for a client that does not read.
ANSWER = bytes(8 * 1024 * 1024)
READ_BYTES = 1 << 20
RECEIVE_BUFFER_BYTES = 1 << 14


class _Recorder(asyncio.Protocol):
    """Records what is read before the close says to ignore it."""

    def __init__(self) -> None:
        self.close: graceful_close.GracefulClose | None = None
        self.handled = b""
        self.transport: asyncio.Transport | None = None
        self.peer: socket.socket | None = None
        self.could_peer_see_end = False
        self.lost = asyncio.Event()
        self.has_ended = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.close = graceful_close.GracefulClose(transport, self._ignore)

    def data_received(self, data: bytes) -> None:
        if not self.has_ended:
            self.close.record_received()
            self.handled += data

    def eof_received(self) -> bool:
        return self.close.record_end_of_stream()

    def connection_lost(self, exc: Exception | None) -> None:
        self.close.cancel()
        self.lost.set()

    def _ignore(self) -> None:
        self.has_ended = True
        if self.peer is not None:
            self.could_peer_see_end = _can_see_end(self.peer)


def _can_see_end(client: socket.socket) -> bool:
    """Returns whether the end of the stream has reached a client's system."""
    poll = select.poll()
    poll.register(client, select.POLLRDHUP)
    return bool(poll.poll(0))


@contextlib.asynccontextmanager
async def _connected(
    receive_buffer_bytes: int | None = None,
) -> AsyncIterator[tuple[socket.socket, _Recorder]]:
    """Yields a client's socket and the protocol at the other end."""
    loop = asyncio.get_running_loop()
    client = socket.socket()
    if receive_buffer_bytes is not None:
        client.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
        )
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client.connect(listener.getsockname())
        accepted, _ = listener.accept()
    accepted.setblocking(False)
    with client:
        transport, protocol = await loop.connect_accepted_socket(
            _Recorder, accepted
        )
        try:
            yield client, protocol
        finally:
            transport.abort()


async def _close_with_late_data(pause_s: float, pieces: int) -> bytes:
    """Returns what was handled of data that arrives during the close.

    The first piece arrives between the loop's last look at its sockets and the
    timer that ends the stream, where the process then stands still.

    Args:
      pause_s: for how long the process stands still; seconds.
      pieces: how often this happens.
    """
    loop = asyncio.get_running_loop()
    async with _connected() as (client, protocol):

        def send_and_stand_still(left: int) -> None:
            client.sendall(STATEMENT)
            time.sleep(pause_s)
            if left > 1:
                loop.call_later(0, send_and_stand_still, left - 1)

        loop.call_later(0, send_and_stand_still, pieces)
        protocol.close.begin(reads_first=True)
        async with asyncio.timeout(TIMEOUT_S):
            await protocol.lost.wait()
    return protocol.handled


# Failure: a statement that arrives while a busy process is about to end the
# stream is dropped, as the loop has already looked for data.
def test_data_that_arrives_just_before_the_end_of_the_stream_is_handled():
    assert asyncio.run(_close_with_late_data(0.0, 1)) == STATEMENT


# Failure: a process that stands still while it closes a connection takes the
# time for the client's last words as over, and drops what arrived meanwhile.
def test_data_that_arrives_while_the_process_stands_still_is_handled():
    handled = asyncio.run(_close_with_late_data(PAUSE_S, 3))
    assert handled == STATEMENT * 3


# Failure: a client that never stops sending keeps its connection open.
def test_close_ends_although_the_client_goes_on_sending():
    async def run() -> None:
        loop = asyncio.get_running_loop()
        async with _connected() as (client, protocol):

            def send_again() -> None:
                with contextlib.suppress(OSError):
                    client.sendall(STATEMENT)
                    loop.call_later(0, send_again)

            send_again()
            protocol.close.begin(reads_first=True)
            async with asyncio.timeout(TIMEOUT_S):
                await protocol.lost.wait()

    asyncio.run(run())


def _read_to_end(client: socket.socket) -> int:
    """Returns how many bytes a client received before the end."""
    count = 0
    while data := client.recv(READ_BYTES):
        count += len(data)
    return count


# Failure: the end of the stream waits behind an answer that the client has not
# read, and what the client sends before it can see the end is dropped.
@pytest.mark.parametrize(
    "answer", [ANSWER, ANSWER[: len(ANSWER) // 4]], ids=["process", "kernel"]
)
def test_data_that_arrives_before_the_end_is_sent_is_handled(answer: bytes):
    async def run() -> tuple[bytes, int]:
        async with _connected(RECEIVE_BUFFER_BYTES) as (client, protocol):
            protocol.transport.write(answer)
            protocol.close.begin(reads_first=True)
            await asyncio.sleep(PAUSE_S)
            client.sendall(STATEMENT)
            await asyncio.sleep(PAUSE_S)
            async with asyncio.timeout(TIMEOUT_S):
                count = await asyncio.to_thread(_read_to_end, client)
                await protocol.lost.wait()
        return protocol.handled, count

    assert asyncio.run(run()) == (STATEMENT, len(answer))


# Failure: a client that goes on sending and never reads keeps its connection
# open, and all that it is to be sent in memory.
def test_close_ends_although_the_client_never_reads():
    async def run() -> None:
        loop = asyncio.get_running_loop()
        async with _connected(RECEIVE_BUFFER_BYTES) as (client, protocol):

            def send_again() -> None:
                with contextlib.suppress(OSError):
                    client.sendall(STATEMENT)
                    loop.call_later(graceful_close.SENDING_CHECK_S, send_again)

            protocol.transport.write(ANSWER)
            protocol.close.begin(reads_first=True)
            send_again()
            async with asyncio.timeout(LAST_LOOKS_TIMEOUT_S):
                while not protocol.has_ended:
                    await asyncio.sleep(PAUSE_S)

    asyncio.run(run())


# Failure: a process stands still after its last look at what has arrived and
# before it ends the stream, and drops what the client sends meanwhile.
def test_client_can_see_the_end_once_what_it_sends_is_ignored():
    async def run() -> bool:
        async with _connected() as (client, protocol):
            protocol.peer = client
            protocol.close.begin(reads_first=True)
            async with asyncio.timeout(TIMEOUT_S):
                await protocol.lost.wait()
        return protocol.could_peer_see_end

    assert asyncio.run(run())
