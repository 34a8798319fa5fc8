"""An HTTP/1.1 client and server on asyncio streams and `h11`."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING

import h11

from fescueshunt import errors
from fescueshunt_wire import abrupt_close, listening

if TYPE_CHECKING:
    from collections.abc import (
        AsyncIterator,
        Awaitable,
        Callable,
        Iterator,
        Mapping,
    )

READ_BYTES = 1 << 16
OPEN_TIMEOUT_S = 1.0
DELIVERY_TIMEOUT_MS = 1000
MAX_IDLE_CONNECTIONS = 2
INTERNAL_SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A complete request; `target` is its path and query string."""

    method: str
    target: str
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int
    body: bytes


class Client:
    """A client for one address, with a pool of idle connections.

    `open_client` also closes them. A connection serves one call at a time. If a
    call ends without a complete response, also because the process ends, its
    connection is reset, so that the kernel doesn't deliver the request later.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle_connections: list[_Connection] = []
        self._is_closed = False

    def close(self) -> None:
        """Closes the idle connections, and each other one after its call."""
        self._is_closed = True
        for conn in self._idle_connections:
            conn.close()
        self._idle_connections.clear()

    async def call(
        self,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        may_send: Callable[[], bool] | None = None,
    ) -> Response:
        """Sends a request and returns the response.

        Args:
          method: the request's method.
          target: the path and query string.
          timeout_s: time limit of the call, in seconds.
          body: the request's body.
          headers: further headers by name.
          may_send: if given, it is asked on a connection right before the
            request is sent.

        Raises:
          CallNotSentError: if `may_send` returned False.
          ConnectionLostError: if the connection fails, or if no complete
            response arrives within `timeout_s` seconds.
        """
        try:
            async with asyncio.timeout(timeout_s):
                conn = await self._acquire_connection()
                with self._releasing(conn):
                    if may_send is not None and not may_send():
                        raise errors.CallNotSentError
                    return await conn.call(
                        method, target, self._address, body, headers or {}
                    )
        except (TimeoutError, OSError, h11.ProtocolError) as exc:
            raise errors.ConnectionLostError(repr(exc)) from exc

    @contextlib.contextmanager
    def _releasing(self, conn: _Connection) -> Iterator[None]:
        """Keeps the connection of a call that succeeds; closes any other."""
        try:
            yield
        except BaseException:
            conn.close()
            raise
        self._release_connection(conn)

    async def _acquire_connection(self) -> _Connection:
        while self._idle_connections:
            conn = self._idle_connections.pop()
            if conn.is_reusable:
                return conn
            conn.close()
        async with asyncio.timeout(OPEN_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                self._host, self._port
            )
        abrupt_close.set_delivery_timeout(writer.transport, DELIVERY_TIMEOUT_MS)
        return _Connection(reader, writer)

    def _release_connection(self, conn: _Connection) -> None:
        has_room = len(self._idle_connections) < MAX_IDLE_CONNECTIONS
        if conn.is_reusable and has_room and not self._is_closed:
            self._idle_connections.append(conn)
        else:
            conn.close()


@contextlib.contextmanager
def open_client(address: str) -> Iterator[Client]:
    """Yields a client for `address`; closes it when the context exits."""
    client = Client(address)
    try:
        yield client
    finally:
        client.close()


class _Connection:
    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._protocol = h11.Connection(h11.CLIENT)

    @property
    def is_reusable(self) -> bool:
        idle = self._protocol.our_state is h11.IDLE
        return idle and not self._reader.at_eof()

    async def call(
        self,
        method: str,
        target: str,
        address: str,
        body: bytes,
        headers: Mapping[str, str],
    ) -> Response:
        all_headers = [("Host", address)]
        all_headers += [(name, headers[name].encode()) for name in headers]
        if body:
            all_headers.append(("Content-Type", "application/json"))
        if method != "GET":
            all_headers.append(("Content-Length", str(len(body))))
        request = h11.Request(method=method, target=target, headers=all_headers)
        data = self._protocol.send(request)
        if body:
            data += self._protocol.send(h11.Data(body))
        data += self._protocol.send(h11.EndOfMessage())
        abrupt_close.set_reset_on_close(self._writer.transport, True)
        self._writer.write(data)
        response = await self._read_response()
        abrupt_close.set_reset_on_close(self._writer.transport, False)
        return response

    async def _read_response(self) -> Response:
        status, chunks = 0, []
        while True:
            match await self._next_event():
                case h11.Response() as response:
                    status = response.status_code
                case h11.Data() as chunk:
                    chunks.append(bytes(chunk.data))
                case h11.EndOfMessage():
                    break
                case h11.ConnectionClosed():
                    raise ConnectionResetError(
                        "connection closed before a response arrived"
                    )
        if self._protocol.our_state is h11.DONE:
            with contextlib.suppress(h11.ProtocolError):
                self._protocol.start_next_cycle()
        return Response(status, b"".join(chunks))

    async def _next_event(self) -> h11.Event:
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._protocol.receive_data(await self._reader.read(READ_BYTES))

    def close(self) -> None:
        """Closes the connection; resets it if a call is unanswered."""
        self._writer.transport.abort()


@contextlib.asynccontextmanager
async def serve(
    address: str, respond: Callable[[Request], Awaitable[Response]]
) -> AsyncIterator[None]:
    """Runs an HTTP server until the context exits.

    Its connections are closed then, and what is written to them is still sent.

    Args:
      address: the IP address and port to listen on, as `IP:PORT`.
      respond: returns the response to a request; if it raises an exception,
        the status is 500.
    """
    writers: set[asyncio.StreamWriter] = set()
    tasks: set[asyncio.Task[None]] = set()

    def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The task may be cancelled before it has begun. It is not left to
        # asyncio, which reports each cancelled one as an error before 3.11.8.
        writers.add(writer)
        task = asyncio.create_task(handle_connection(reader, writer))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def handle_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await _serve_connection(reader, writer, respond)
        except (OSError, h11.ProtocolError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    with listening.bound_socket(address) as sock:
        server = await asyncio.start_server(
            accept, sock=sock, backlog=listening.ACCEPTS_PER_TURN
        )
        listening.widen_backlog(sock)
        try:
            yield
        finally:
            server.close()
            for writer in writers:
                writer.close()


async def _serve_connection(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    respond: Callable[[Request], Awaitable[Response]],
) -> None:
    protocol = h11.Connection(h11.SERVER)
    head: h11.Request | None = None
    body: list[bytes] = []
    while True:
        match protocol.next_event():
            case h11.NEED_DATA:
                protocol.receive_data(await reader.read(READ_BYTES))
            case h11.Request() as head:
                body = []
            case h11.Data() as chunk:
                body.append(bytes(chunk.data))
            case h11.EndOfMessage() if head is not None:
                response = await _respond(respond, _to_request(head, body))
                writer.write(_encode_response(protocol, response))
                if protocol.our_state is h11.MUST_CLOSE:
                    return
                protocol.start_next_cycle()
            case h11.ConnectionClosed():
                return


async def _respond(
    respond: Callable[[Request], Awaitable[Response]], request: Request
) -> Response:
    """Returns the response; if `respond` raises, logs it and returns a 500."""
    try:
        return await respond(request)
    except Exception as exc:
        loop = asyncio.get_running_loop()
        loop.call_exception_handler(
            {"message": f"no response to {request.target}", "exception": exc}
        )
        return Response(INTERNAL_SERVER_ERROR, b"")


def _to_request(head: h11.Request, body: list[bytes]) -> Request:
    return Request(head.method.decode(), head.target.decode(), b"".join(body))


def _encode_response(protocol: h11.Connection, response: Response) -> bytes:
    head = h11.Response(
        status_code=response.status,
        headers=[("Content-Length", str(len(response.body)))],
    )
    data = protocol.send(head)
    data += protocol.send(h11.Data(response.body))
    return data + protocol.send(h11.EndOfMessage())
