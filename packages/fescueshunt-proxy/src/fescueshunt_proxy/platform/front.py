"""Clients' connections, over the line protocol."""

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


class LineFront(ports.Front):
    """Serves sessions."""

    @contextlib.asynccontextmanager
    async def serving(
        self,
        address: str,
        accept: Callable[[ports.ClientConnection], ports.ClientListener],
    ) -> AsyncIterator[None]:
        """Serves while the block runs."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: _ClientProtocol(accept), host, int(port), backlog=BACKLOG
        )
        try:
            yield
        finally:
            server.close()


class _LineClient(ports.ClientConnection):
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
        self._splitter = lines.Splitter()
        self._listener: ports.ClientListener | None = None
        self._transport: asyncio.Transport | None = None
        self._started = False
        self._over = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._listener = self._accept(_LineClient(transport))

    def data_received(self, data: bytes) -> None:
        try:
            for line in self._splitter.feed(data):
                self._take(line)
        except errors.FrameError as exc:
            failure = sessions.Failure.INVALID
            self._transport.write(lines.encode_failure(failure, exc.detail))
            self._end()

    def eof_received(self) -> bool:
        self._end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._end()

    def _take(self, line: str) -> None:
        if self._over:
            return
        if not self._started:
            self._started = True
            self._listener.started(*lines.decode_start(line))
            return
        statement = lines.decode_statement(line)
        if statement is None:
            self._end()
        else:
            self._listener.received(statement)

    def _end(self) -> None:
        if not self._over:
            self._over = True
            self._listener.ended()
            self._transport.close()
