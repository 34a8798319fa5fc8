"""HTTP/1.1 over the loop's streams, by `h11`."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING

import h11

from fescueshunt import errors

if TYPE_CHECKING:
    from collections.abc import (
        AsyncIterator,
        Awaitable,
        Callable,
        Mapping,
    )

READ_BYTES = 1 << 16
OPEN_TIMEOUT_S = 1.0
IDLE_CONNECTIONS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A whole request; `target` is its path and query."""

    method: str
    target: str
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A whole response."""

    status: int
    body: bytes


class Client:
    """Calls one address; a connection carries one call at a time.

    A connection on which a call got no whole response is closed.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle: list[_Connection] = []

    async def call(
        self,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Response:
        """Returns the response.

        Raises:
          ConnectionLostError: if there is none within `timeout_s` seconds.
        """
        conn: _Connection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                conn = await self._connection()
                response = await conn.call(
                    method, target, self._address, body, headers or {}
                )
        except (TimeoutError, OSError, h11.ProtocolError) as exc:
            if conn is not None:
                conn.close()
            raise errors.ConnectionLostError(repr(exc)) from exc
        except asyncio.CancelledError:
            if conn is not None:
                conn.close()
            raise
        self._keep(conn)
        return response

    async def _connection(self) -> _Connection:
        while self._idle:
            conn = self._idle.pop()
            if conn.is_usable:
                return conn
            conn.close()
        async with asyncio.timeout(OPEN_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                self._host, self._port
            )
        return _Connection(reader, writer)

    def _keep(self, conn: _Connection) -> None:
        if conn.is_usable and len(self._idle) < IDLE_CONNECTIONS:
            self._idle.append(conn)
        else:
            conn.close()


class _Connection:
    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._state = h11.Connection(h11.CLIENT)

    @property
    def is_usable(self) -> bool:
        idle = self._state.our_state is h11.IDLE
        return idle and not self._reader.at_eof()

    async def call(
        self,
        method: str,
        target: str,
        address: str,
        body: bytes,
        headers: Mapping[str, str],
    ) -> Response:
        sent = [("Host", address), *headers.items()]
        if body:
            sent.append(("Content-Type", "application/json"))
        if method != "GET":
            sent.append(("Content-Length", str(len(body))))
        request = h11.Request(method=method, target=target, headers=sent)
        data = self._state.send(request)
        if body:
            data += self._state.send(h11.Data(body))
        data += self._state.send(h11.EndOfMessage())
        self._writer.write(data)
        return await self._response()

    async def _response(self) -> Response:
        status, parts = 0, []
        while True:
            match await self._next_event():
                case h11.Response() as response:
                    status = response.status_code
                case h11.Data() as part:
                    parts.append(bytes(part.data))
                case h11.EndOfMessage():
                    break
                case h11.ConnectionClosed():
                    raise ConnectionResetError("closed before a response")
        if self._state.our_state is h11.DONE:
            with contextlib.suppress(h11.ProtocolError):
                self._state.start_next_cycle()
        return Response(status, b"".join(parts))

    async def _next_event(self) -> h11.Event:
        while True:
            event = self._state.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._state.receive_data(await self._reader.read(READ_BYTES))

    def close(self) -> None:
        self._writer.close()


@contextlib.asynccontextmanager
async def serve(
    address: str, respond: Callable[[Request], Awaitable[Response]]
) -> AsyncIterator[None]:
    """Answers requests at `address` by `respond` while the block runs."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await _serve(reader, writer, respond)
        except (OSError, h11.ProtocolError):
            pass
        finally:
            writer.close()

    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(handle, host, int(port))
    try:
        yield
    finally:
        server.close()


async def _serve(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    respond: Callable[[Request], Awaitable[Response]],
) -> None:
    state = h11.Connection(h11.SERVER)
    head: h11.Request | None = None
    body: list[bytes] = []
    while True:
        match state.next_event():
            case h11.NEED_DATA:
                state.receive_data(await reader.read(READ_BYTES))
            case h11.Request() as head:
                body = []
            case h11.Data() as part:
                body.append(bytes(part.data))
            case h11.EndOfMessage() if head is not None:
                response = await respond(_request(head, body))
                writer.write(_encode(state, response))
                if state.our_state is h11.MUST_CLOSE:
                    return
                state.start_next_cycle()
            case h11.ConnectionClosed():
                return


def _request(head: h11.Request, body: list[bytes]) -> Request:
    return Request(head.method.decode(), head.target.decode(), b"".join(body))


def _encode(state: h11.Connection, response: Response) -> bytes:
    head = h11.Response(
        status_code=response.status,
        headers=[("Content-Length", str(len(response.body)))],
    )
    data = state.send(head)
    data += state.send(h11.Data(response.body))
    return data + state.send(h11.EndOfMessage())
