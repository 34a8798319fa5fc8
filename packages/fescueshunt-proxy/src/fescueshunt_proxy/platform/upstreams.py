"""Connections to upstreams that use the line protocol."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt_proxy._internal.hosted import upstream_ports
from fescueshunt_proxy.platform import lines
from fescueshunt_wire import abrupt_close

if TYPE_CHECKING:
    from fescueshunt.core import replica_sets, sessions

PROXY_ACCOUNT = "fescueshunt"
UNEXPECTED_DATA = "unexpected data after a reply from upstream"


class LineProtocolConnector(upstream_ports.UpstreamConnector):
    """Opens connections that name the expected upstream in their start line.

    They are reset when they are closed, also by the end of the process, so that
    the kernel doesn't deliver a call later that this host has given up.
    """

    async def connect(
        self,
        entry: replica_sets.UpstreamEntry,
        account: str,
        listener: upstream_ports.UpstreamListener,
    ) -> upstream_ports.UpstreamConnection:
        """Connects to the upstream of `entry` and starts a session.

        An address that the entry's model permits may still be unusable; it is
        handled like an upstream that can't be reached.
        """
        host, _, port = entry.address.rpartition(":")
        loop = asyncio.get_running_loop()
        start_future = loop.create_future()
        start_future.add_done_callback(_consume_exception)
        try:
            transport, _ = await loop.create_connection(
                lambda: _UpstreamProtocol(listener, start_future),
                host,
                int(port),
            )
        except ConnectionRefusedError as exc:
            raise errors.NobodyListensError(str(exc)) from exc
        except (OSError, ValueError, OverflowError) as exc:
            raise errors.ConnectionLostError(str(exc)) from exc
        abrupt_close.set_reset_on_close(transport, True)
        start_line = lines.encode_start(
            entry.database, account or PROXY_ACCOUNT, entry.upstream
        )
        transport.write(start_line)
        try:
            await start_future
        except BaseException:
            transport.abort()
            raise
        return _LineProtocolConnection(transport)


def _consume_exception(fut: asyncio.Future[None]) -> None:
    """Marks the exception as retrieved.

    No one awaits the future once a connection attempt is cancelled; asyncio
    would log an exception that was never retrieved.
    """
    if not fut.cancelled():
        fut.exception()


class _LineProtocolConnection(upstream_ports.UpstreamConnection):
    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def send(self, call: sessions.UpstreamCall) -> None:
        self._transport.get_protocol().expect_reply()
        self._transport.write(lines.encode_call(call))

    def close(self) -> None:
        protocol = self._transport.get_protocol()
        protocol.is_closing = True
        self._transport.abort()


class _UpstreamProtocol(asyncio.Protocol):
    def __init__(
        self,
        listener: upstream_ports.UpstreamListener,
        start_future: asyncio.Future[None],
    ) -> None:
        self._listener = listener
        self._start_future = start_future
        self._splitter = lines.LineSplitter()
        self._decoder = lines.ReplyDecoder()
        self._transport: asyncio.Transport | None = None
        # The reply to the start comes first.
        self._expects_reply = True
        self.is_closing = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def expect_reply(self) -> None:
        """Permits one more reply, to a call that is sent now."""
        self._expects_reply = True

    def data_received(self, data: bytes) -> None:
        try:
            reply = self._decode_reply(data)
        except errors.FrameError as exc:
            self._fail(exc)
            self._transport.abort()
            return
        if reply is not None:
            self._handle_reply(reply)

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(errors.ConnectionLostError(repr(exc)))

    def _decode_reply(self, data: bytes) -> sessions.UpstreamReply | None:
        """Returns the reply that `data` completes, or None.

        Raises:
          FrameError: if the data can't be part of a reply to the call in
            flight, or continues after it.
        """
        if not self._expects_reply:
            raise errors.FrameError(UNEXPECTED_DATA)
        reply = None
        for line in self._splitter.split(data):
            if reply is not None:
                raise errors.FrameError(UNEXPECTED_DATA)
            reply = self._decoder.feed(line)
            if reply is None and not self._start_future.done():
                self._refuse_start()
        if reply is not None and self._splitter.has_incomplete_line:
            raise errors.FrameError(UNEXPECTED_DATA)
        self._expects_reply = reply is None
        return reply

    def _handle_reply(self, reply: sessions.UpstreamReply) -> None:
        if not self._start_future.done():
            self._start_future.set_result(None)
        elif not self.is_closing:
            self._listener.on_reply(reply)

    def _refuse_start(self) -> None:
        """Fails the start if the upstream has given a reason to refuse it."""
        if self._decoder.failure is not None:
            refused = errors.RefusedError(
                self._decoder.failure, self._decoder.detail
            )
            self._start_future.set_exception(refused)

    def _fail(self, error: errors.FescueshuntError) -> None:
        if not self._start_future.done():
            self._start_future.set_exception(error)
        elif not self.is_closing:
            self.is_closing = True
            self._listener.on_connection_lost(error, None)
