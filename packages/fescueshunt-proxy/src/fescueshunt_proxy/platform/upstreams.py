"""Connections to upstreams, over the line protocol."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt_proxy._internal.hosted import ports
from fescueshunt_proxy.platform import lines

if TYPE_CHECKING:
    from fescueshunt.core import replica_sets, sessions

CALLER = "fescueshunt"


class LineUpstreams(ports.Upstreams):
    """Opens a connection and starts it as the upstream that is expected."""

    async def connect(
        self, entry: replica_sets.UpstreamEntry, listener: ports.LinkListener
    ) -> ports.Link:
        """Opens a connection to the upstream of `entry`."""
        host, _, port = entry.address.rpartition(":")
        loop = asyncio.get_running_loop()
        started = loop.create_future()
        started.add_done_callback(_retrieve)
        try:
            transport, _ = await loop.create_connection(
                lambda: _LinkProtocol(listener, started), host, int(port)
            )
        except OSError as exc:
            raise errors.ConnectionLostError(str(exc)) from exc
        hello = lines.encode_start(entry.database, CALLER, entry.upstream)
        transport.write(hello)
        try:
            await started
        except BaseException:
            transport.abort()
            raise
        return _LineLink(transport)


def _retrieve(fut: asyncio.Future[None]) -> None:
    """Takes an exception that nobody waits for after a cancelled attempt."""
    if not fut.cancelled():
        fut.exception()


class _LineLink(ports.Link):
    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def send(self, call: sessions.UpstreamCall) -> None:
        self._transport.write(lines.encode_call(call))

    def close(self) -> None:
        protocol = self._transport.get_protocol()
        protocol.is_closing = True
        self._transport.abort()


class _LinkProtocol(asyncio.Protocol):
    def __init__(
        self, listener: ports.LinkListener, started: asyncio.Future[None]
    ) -> None:
        self._listener = listener
        self._started = started
        self._splitter = lines.Splitter()
        self._decoder = lines.ReplyDecoder()
        self._transport: asyncio.Transport | None = None
        self.is_closing = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        try:
            for line in self._splitter.feed(data):
                self._take(line)
        except errors.FrameError as exc:
            self._end(exc)
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(errors.ConnectionLostError(repr(exc)))

    def _take(self, line: str) -> None:
        reply = self._decoder.feed(line)
        if self._started.done():
            if reply is not None and not self.is_closing:
                self._listener.replied(reply)
        elif reply is not None:
            self._started.set_result(None)
        elif self._decoder.failure is not None:
            refused = errors.RefusedError(
                self._decoder.failure, self._decoder.detail
            )
            self._started.set_exception(refused)

    def _end(self, error: errors.FescueshuntError) -> None:
        if not self._started.done():
            self._started.set_exception(error)
        elif not self.is_closing:
            self.is_closing = True
            self._listener.lost(error, None)
