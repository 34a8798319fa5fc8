"""Server for client connections that use the line protocol."""

from __future__ import annotations

import array
import asyncio
import contextlib
import fcntl
import termios
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt_proxy._internal.hosted import ports
from fescueshunt_proxy.platform import lines
from fescueshunt_wire import listening

if TYPE_CHECKING:
    import socket
    from collections.abc import AsyncIterator, Callable

    from fescueshunt.core import sessions

# What arrives late on a connection that ends is read for this long, first to be
# answered, then to be ignored.
LINGER_S = 0.1
# The end of a stream counts as one byte that the other end has to acknowledge.
END_OF_STREAM_BYTES = 1


class LineProtocolFrontEnd(ports.FrontEnd):
    """Listens for clients that use the line protocol."""

    @contextlib.asynccontextmanager
    async def serving(
        self,
        address: str,
        accept: Callable[[ports.ClientConnection], ports.ClientListener],
    ) -> AsyncIterator[ports.Listener]:
        """Listens on `address` until the context manager exits."""
        loop = asyncio.get_running_loop()

        def create_protocol() -> _ClientProtocol:
            return _ClientProtocol(accept)

        with listening.bound_socket(address) as sock:
            server = await loop.create_server(
                create_protocol,
                sock=sock,
                backlog=listening.ACCEPTS_PER_TURN,
            )
            listening.widen_backlog(sock)
            try:
                yield _ServerListener(server, create_protocol)
            finally:
                server.close()


class _ServerListener(ports.Listener):
    def __init__(
        self,
        server: asyncio.Server,
        create_protocol: Callable[[], _ClientProtocol],
    ) -> None:
        self._server = server
        self._create_protocol = create_protocol
        self._accept_tasks: list[asyncio.Task] = []

    def close(self) -> None:
        """Stops listening and accepts the connections that already wait.

        They would be reset, with the requests that their clients have sent.
        """
        listening_socks = [sock.dup() for sock in self._server.sockets]
        self._server.close()
        loop = asyncio.get_running_loop()
        for listening_sock in listening_socks:
            with listening_sock:
                waiting_socks = list(listening.accept_waiting(listening_sock))
            self._accept_tasks += [
                loop.create_task(self._connect(sock)) for sock in waiting_socks
            ]

    async def _connect(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            await loop.connect_accepted_socket(self._create_protocol, sock)


class _LineProtocolClient(ports.ClientConnection):
    def __init__(
        self, transport: asyncio.Transport, protocol: _ClientProtocol
    ) -> None:
        self._transport = transport
        self._protocol = protocol

    def welcome(self) -> None:
        self._transport.write(lines.encode_welcome())

    def reject(self, failure: sessions.Failure, detail: str) -> None:
        self._transport.write(lines.encode_failure(failure, detail))
        self._protocol.finish(answers_arrived=False)

    def answer(self, statement_id: str, answer: sessions.SessionAnswer) -> None:
        self._transport.write(lines.encode_answer(answer))

    def pause_reading(self) -> None:
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        self._transport.resume_reading()

    def close(self) -> None:
        self._protocol.finish(answers_arrived=True)


class _ClientProtocol(asyncio.Protocol):
    def __init__(
        self,
        accept: Callable[[ports.ClientConnection], ports.ClientListener],
    ) -> None:
        self._accept = accept
        self._splitter = lines.LineSplitter()
        self._listener: ports.ClientListener | None = None
        self._transport: asyncio.Transport | None = None
        self._end_timer: asyncio.TimerHandle | None = None
        self._linger_timer: asyncio.TimerHandle | None = None
        self._answers_until: float = 0.0
        self._has_started = False
        self._has_received = False
        self._ignores_requests = False
        self._has_read_all = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._listener = self._accept(_LineProtocolClient(transport, self))

    def data_received(self, data: bytes) -> None:
        if self._ignores_requests:
            return
        self._has_received = True
        try:
            for line in self._splitter.split(data):
                self._handle_line(line)
        except errors.FrameError as exc:
            if self._start_ignoring():
                self._listener.on_malformed_request(exc.detail)

    def eof_received(self) -> bool:
        self._has_read_all = True
        self._end_session()
        return self._linger_timer is None

    def connection_lost(self, exc: Exception | None) -> None:
        self._ignores_requests = True
        for timer in (self._end_timer, self._linger_timer):
            if timer is not None:
                timer.cancel()
        self._listener.on_disconnected()

    def finish(self, *, answers_arrived: bool) -> None:
        """Ends the stream behind the last answer, then closes.

        A connection that is closed with unread bytes is reset, and its client
        loses the answers that are still on their way. What the client sends is
        therefore read and ignored until it ends its stream as well, but only
        for `LINGER_S` once its system has received everything.

        Args:
          answers_arrived: whether what has already arrived is passed on first,
            so that it is answered.
        """
        if not answers_arrived:
            self._start_ignoring()
        if self._has_read_all:
            self._transport.close()
        elif self._end_timer is None:
            loop = asyncio.get_running_loop()
            self._answers_until = loop.time() + LINGER_S
            self._transport.resume_reading()
            self._read_before_end()

    def _read_before_end(self) -> None:
        """Reads what has arrived, then ends the stream if that was nothing."""
        self._has_received = False
        loop = asyncio.get_running_loop()
        # Timers run after what is ready to be read has been read.
        self._end_timer = loop.call_later(0, self._end_stream)

    def _end_stream(self) -> None:
        is_over = asyncio.get_running_loop().time() >= self._answers_until
        if self._has_received and not is_over:
            self._read_before_end()
            return
        self._start_ignoring()
        if self._has_read_all:
            self._transport.close()
            return
        self._start_linger_timer()
        # A client that reset its connection also makes `connection_lost` be
        # called.
        with contextlib.suppress(OSError):
            self._transport.write_eof()

    def _start_linger_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._linger_timer = loop.call_later(LINGER_S, self._stop_lingering)

    def _stop_lingering(self) -> None:
        if self._has_unsent_bytes():
            self._start_linger_timer()
        else:
            self._transport.close()

    def _has_unsent_bytes(self) -> bool:
        """Returns whether the client's system has yet to receive bytes."""
        sock = self._transport.get_extra_info("socket")
        return (
            self._transport.get_write_buffer_size() > 0
            or _unacknowledged_bytes(sock.fileno()) > END_OF_STREAM_BYTES
        )

    def _handle_line(self, line: str) -> None:
        if self._ignores_requests:
            return
        if not self._has_started:
            self._listener.on_session_started(*lines.decode_start(line))
            self._has_started = True
            return
        statement = lines.decode_statement(line)
        if statement is None:
            self._end_session()
        else:
            self._listener.on_statement(statement)

    def _end_session(self) -> None:
        if self._start_ignoring():
            self._listener.on_session_ended()

    def _start_ignoring(self) -> bool:
        """Ignores further requests; returns whether none were ignored yet."""
        was_ignoring, self._ignores_requests = self._ignores_requests, True
        return not was_ignoring


def _unacknowledged_bytes(fd: int) -> int:
    """Returns how many bytes sent on a socket have not reached its peer.

    Returns 0 if the system does not say.
    """
    count = array.array("i", [0])
    with contextlib.suppress(OSError):
        fcntl.ioctl(fd, termios.TIOCOUTQ, count)
    return count[0]
