"""Server for client connections that use the line protocol."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import client_limits
from fescueshunt_proxy._internal.hosted import client_ports
from fescueshunt_proxy.platform import client_lines, lines
from fescueshunt_wire import graceful_close, listening

# A client's answers that it has not read, before its next message is taken.
MAX_UNREAD_BYTES = 64 << 10
# What is read of further messages while one is in flight.
READ_AHEAD_BYTES = 64 << 10
# A client passes on so many messages before others have their turn.
MESSAGES_PER_TURN = 8
# How often a message waits for memory before the next look.
ROOM_CHECK_S = 0.02
NO_USE = (0, None)

if TYPE_CHECKING:
    import socket
    from collections.abc import AsyncIterator, Callable

    from fescueshunt.core import failures, sessions


class LineProtocolFrontEnd(client_ports.FrontEnd):
    """Listens for clients that use the line protocol."""

    @contextlib.asynccontextmanager
    async def serving(
        self,
        address: str,
        accept: Callable[
            [client_ports.ClientConnection], client_ports.ClientListener
        ],
    ) -> AsyncIterator[client_ports.Listener]:
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


class _ServerListener(client_ports.Listener):
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
                waiting_socks = list(listening.accept_last(listening_sock))
            self._accept_tasks += [
                loop.create_task(self._connect(sock)) for sock in waiting_socks
            ]

    async def _connect(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            await loop.connect_accepted_socket(self._create_protocol, sock)


class _LineProtocolClient(client_ports.ClientConnection):
    def __init__(
        self, transport: asyncio.Transport, protocol: _ClientProtocol
    ) -> None:
        self._transport = transport
        self._protocol = protocol

    @property
    def address(self) -> str:
        peer = self._transport.get_extra_info("peername")
        return f"{peer[0]}:{peer[1]}" if peer else ""

    def welcome(self) -> None:
        self._transport.write(lines.encode_welcome())

    def reject(self, failure: failures.Failure, detail: str) -> None:
        self._transport.write(lines.encode_failure(failure, detail))
        self._protocol.close(reads_first=False)

    def answer(self, statement_id: str, answer: sessions.SessionAnswer) -> None:
        self._transport.write(lines.encode_answer(answer))
        self._protocol.record_answer()

    def pause_reading(self) -> None:
        self._protocol.set_paused(is_paused=True)

    def resume_reading(self) -> None:
        self._protocol.set_paused(is_paused=False)

    def close(self) -> None:
        self._protocol.close(reads_first=True)

    def drop(self) -> None:
        self._protocol.drop()


class _ClientProtocol(asyncio.Protocol):
    """Passes on the messages of one client, one at a time.

    A message is decoded only once the one before it is answered, and what the
    client has not read of the answers is small. Until then it stays in the
    buffer, and the client's further bytes in the kernel.
    """

    def __init__(
        self,
        accept: Callable[
            [client_ports.ClientConnection], client_ports.ClientListener
        ],
    ) -> None:
        self._accept = accept
        self._buffer = lines.LineBuffer()
        self._transport: asyncio.Transport | None = None
        self._listener: client_ports.ClientListener | None = None
        self._close: graceful_close.GracefulClose | None = None
        self._pump_handle: asyncio.Handle | None = None
        self._has_started = False
        self._has_peer_ended = False
        self._ignores_requests = False
        self._is_closing = False
        self._is_paused = False
        self._is_blocked = False
        self._leaves_unread = False
        self._running_bytes = 0
        self._reported_use = (0, client_limits.Wait.START)

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_UNREAD_BYTES)
        self._close = graceful_close.GracefulClose(
            transport, self._start_ignoring
        )
        self._listener = self._accept(_LineProtocolClient(transport, self))

    def data_received(self, data: bytes) -> None:
        if self._ignores_requests:
            return
        self._close.record_received()
        self._buffer.add(data)
        self._pump()

    def eof_received(self) -> bool:
        stays_open = self._close.record_end_of_stream()
        self._has_peer_ended = True
        self._pump()
        return stays_open

    def connection_lost(self, exc: Exception | None) -> None:
        self._ignores_requests = True
        self._buffer.clear()
        self._cancel_pump()
        self._close.cancel()
        self._listener.on_disconnected()

    def pause_writing(self) -> None:
        self._is_blocked = True

    def resume_writing(self) -> None:
        self._is_blocked = False
        self._pump_later()

    def set_paused(self, *, is_paused: bool) -> None:
        """Stops or goes on passing on messages."""
        self._is_paused = is_paused
        if not is_paused:
            self._pump_later()

    def record_answer(self) -> None:
        """Records that the message in flight is answered."""
        if self._running_bytes > client_limits.SMALL_MESSAGE_BYTES:
            self._listener.end_run()
        self._running_bytes = 0
        if (
            len(self._buffer)
            or self._has_peer_ended
            or self._reported_use != NO_USE
            or self._transport.get_write_buffer_size()
        ):
            self._pump_later()

    def close(self, *, reads_first: bool) -> None:
        """Closes the connection behind the last answer.

        Args:
          reads_first: whether what has already arrived is passed on first, so
            that it is answered.
        """
        self._is_closing = True
        if reads_first and len(self._buffer):
            # A connection whose client has ended its stream closes at once.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._close_behind_messages)
        else:
            self._close.begin(reads_first=reads_first)

    def _close_behind_messages(self) -> None:
        """Passes on what is buffered, so that it is refused, and closes."""
        self._pump()
        self._close.begin(reads_first=True)

    def drop(self) -> None:
        """Ends the connection and frees what is buffered, at once."""
        self._start_ignoring()
        self._transport.abort()

    def _pump_later(self) -> None:
        """Goes on in the next turn of the loop, after other clients."""
        if self._pump_handle is None and not self._ignores_requests:
            loop = asyncio.get_running_loop()
            self._pump_handle = loop.call_soon(self._pump)

    def _cancel_pump(self) -> None:
        if self._pump_handle is not None:
            self._pump_handle.cancel()
            self._pump_handle = None

    def _pump(self) -> None:
        """Passes on the next messages, as far as that is possible now."""
        self._cancel_pump()
        try:
            self._pass_on_messages()
        except errors.FrameError as exc:
            if self._start_ignoring():
                self._listener.on_malformed_request(exc.detail)
        if not self._transport.is_closing():
            self._control_reading()
            self._report_use()

    def _pass_on_messages(self) -> None:
        # A client whose session closes is refused all that it has sent at once.
        most = len(self._buffer) if self._is_closing else MESSAGES_PER_TURN
        for _ in range(most + 1):
            if self._ignores_requests or not self._may_take():
                return
            size = self._buffer.line_size()
            if size is None:
                if self._has_peer_ended:
                    self._end_session()
                return
            if not self._is_closing and not self._listener.try_run(size):
                loop = asyncio.get_running_loop()
                self._cancel_pump()
                self._pump_handle = loop.call_later(ROOM_CHECK_S, self._pump)
                return
            self._handle_line(self._buffer.take_line(size), size)
        self._pump_later()

    def _may_take(self) -> bool:
        """Returns whether the next message may be passed on."""
        if self._running_bytes:
            return False
        if self._is_closing:
            # The message is refused at once.
            return True
        return not self._is_paused and not self._is_blocked

    def _control_reading(self) -> None:
        """Leaves further bytes in the kernel while enough are buffered."""
        if self._is_closing or self._ignores_requests:
            return
        is_full = len(self._buffer) >= READ_AHEAD_BYTES
        leaves_unread = is_full and not self._may_take()
        if leaves_unread == self._leaves_unread:
            return
        self._leaves_unread = leaves_unread
        if leaves_unread:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _report_use(self) -> None:
        """Reports what the client holds, and what it is waited for."""
        unread = self._transport.get_write_buffer_size()
        running = 0
        if self._running_bytes > client_limits.SMALL_MESSAGE_BYTES:
            running = self._running_bytes * client_limits.RUNNING_COPIES
        held_bytes = len(self._buffer) + unread + running
        use = (held_bytes, self._current_wait(unread))
        if use != self._reported_use:
            self._reported_use = use
            self._listener.on_use(*use)

    def _current_wait(self, unread: int) -> client_limits.Wait | None:
        if not self._has_started:
            return client_limits.Wait.START
        if unread:
            return client_limits.Wait.READ
        if len(self._buffer) and self._may_take():
            return client_limits.Wait.MESSAGE
        return None

    def _handle_line(self, line: str, size: int) -> None:
        if not self._has_started:
            self._listener.on_session_started(*client_lines.decode_start(line))
            self._has_started = True
            return
        statement = client_lines.decode_statement(line)
        if statement is None:
            self._end_session()
            return
        self._running_bytes = size
        self._listener.on_statement(statement)

    def _end_session(self) -> None:
        if self._start_ignoring():
            self._listener.on_session_ended()

    def _start_ignoring(self) -> bool:
        """Ignores further requests; returns whether none were ignored yet."""
        was_ignoring, self._ignores_requests = self._ignores_requests, True
        self._buffer.clear()
        return not was_ignoring
