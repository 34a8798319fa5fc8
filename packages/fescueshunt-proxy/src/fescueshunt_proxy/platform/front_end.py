"""Server for client connections that use the line protocol."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import sessions
from fescueshunt_proxy._internal.hosted import ports
from fescueshunt_proxy.platform import lines

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

BACKLOG = 1024


class LineProtocolFrontEnd(ports.FrontEnd):
    """Listens for clients that use the line protocol."""

    @contextlib.asynccontextmanager
    async def serving(
        self,
        address: str,
        accept: Callable[[ports.ClientConnection], ports.ClientListener],
    ) -> AsyncIterator[ports.Listener]:
        """Listens on `address` until the context manager exits."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: _ClientProtocol(accept), host, int(port), backlog=BACKLOG
        )
        try:
            yield _ServerListener(server)
        finally:
            server.close()


class _ServerListener(ports.Listener):
    def __init__(self, server: asyncio.Server) -> None:
        self._server = server

    def close(self) -> None:
        self._server.close()


class _LineProtocolClient(ports.ClientConnection):
    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def welcome(self) -> None:
        self._transport.write(lines.encode_welcome())

    def reject(self, failure: sessions.Failure, detail: str) -> None:
        self._transport.write(lines.encode_failure(failure, detail))
        self._transport.close()

    def answer(self, statement_id: str, answer: sessions.SessionAnswer) -> None:
        self._transport.write(lines.encode_answer(answer))

    def close(self) -> None:
        self._transport.close()


class _ClientProtocol(asyncio.Protocol):
    def __init__(
        self,
        accept: Callable[[ports.ClientConnection], ports.ClientListener],
    ) -> None:
        self._accept = accept
        self._splitter = lines.LineSplitter()
        self._listener: ports.ClientListener | None = None
        self._transport: asyncio.Transport | None = None
        self._has_started = False
        self._has_ended = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._listener = self._accept(_LineProtocolClient(transport))

    def data_received(self, data: bytes) -> None:
        try:
            for line in self._splitter.feed(data):
                self._handle_line(line)
        except errors.FrameError as exc:
            failure = sessions.Failure.INVALID
            self._transport.write(lines.encode_failure(failure, exc.detail))
            self._end_session()

    def eof_received(self) -> bool:
        self._end_session()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._end_session()
        self._listener.on_disconnected()

    def _handle_line(self, line: str) -> None:
        if self._has_ended:
            return
        if not self._has_started:
            self._has_started = True
            self._listener.on_session_started(*lines.decode_start(line))
            return
        statement = lines.decode_statement(line)
        if statement is None:
            self._end_session()
        else:
            self._listener.on_statement(statement)

    def _end_session(self) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._listener.on_session_ended()
            self._transport.close()
