"""Peer connections: messages to and from the other proxies of the fleet."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import identity, items, peer, upstream, views
from fescueshunt_wire import codec, transport

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fescueshunt_proxy._internal import runtime, tracing

RECONNECT_DELAY_S = 0.1
ADDRESS_TIMEOUT_S = 3.0
MAX_PENDING_MESSAGES = 10_000
LINK_IDLE_TIMEOUT_S = 10.0
IDLE_CLOSE_CODE = 4000


@dataclasses.dataclass(slots=True)
class OutgoingConn:
    """The state of the outgoing connection to one proxy.

    Attributes:
      address: the proxy's address, or "" until a fleet view provides it.
      address_known: set once a fleet view has provided `address`.
      task: the task that opens the connection and runs until it ends.
      transport_conn: the transport connection, or None until it is open.
      last_used_at: when a message was last sent or queued; seconds, monotonic.
      pending: the messages to send once the connection is open.
    """

    address: str
    address_known: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    task: asyncio.Task[None] | None = None
    transport_conn: transport.Connection | None = None
    last_used_at: float = 0.0
    pending: list[peer.PeerMessage] = dataclasses.field(default_factory=list)


class PeerConnections:
    """Feeds messages from other proxies to the core and sends its messages.

    A proxy sends only on the connections that it opened and receives only on
    those that it accepted. A connection that has sent nothing for
    `LINK_IDLE_TIMEOUT_S` is closed, so a proxy keeps connections only to the
    proxies that it exchanges messages with, not to the whole fleet.
    """

    def __init__(
        self,
        core_runtime: runtime.Runtime,
        local_proxy: identity.Identity,
        tasks: asyncio.TaskGroup,
        tracer: tracing.Tracer | None,
    ) -> None:
        self._runtime = core_runtime
        self._local_proxy = local_proxy
        self._tasks = tasks
        self._tracer = tracer
        self._outgoing: dict[str, OutgoingConn] = {}
        self._addresses: dict[str, str] = {}
        core_runtime.subscribe(items.SendPeer, self._send)
        core_runtime.subscribe(views.FleetView, self._update_addresses)

    @contextlib.asynccontextmanager
    async def serving(self, address: str) -> AsyncIterator[str]:
        """Listens for other proxies at `address`; yields the bound address."""
        async with transport.listen(address, self._serve) as bound_address:
            yield bound_address

    async def _serve(self, transport_conn: transport.Connection) -> None:
        """Feeds the messages of one incoming connection to the core.

        Reports the sender as lost when the connection ends, because messages
        in transit may be lost. If the sender closed the connection because it
        was idle, nothing was in transit and nothing is reported.
        """
        sender = ""
        try:
            async for envelope in transport_conn.receive():
                message = envelope.message
                if isinstance(message, upstream.Hello) and not sender:
                    sender = message.host
                elif isinstance(message, peer.PeerMessage) and sender:
                    self._runtime.feed(
                        items.PeerReceived(self._runtime.now(), sender, message)
                    )
                else:
                    raise errors.FrameOrderError(type(message).__name__)
        finally:
            if sender and transport_conn.close_code != IDLE_CLOSE_CODE:
                lost = items.PeerLost(self._runtime.now(), sender)
                self._runtime.feed(lost)

    def _update_addresses(self, view: views.FleetView) -> None:
        self._addresses = {m.name: m.address for m in view.members}
        for name, conn in self._outgoing.items():
            if not conn.address and name in self._addresses:
                conn.address = self._addresses[name]
                conn.address_known.set()

    def _send(self, item: items.SendPeer) -> None:
        message = self._add_span_id(item.message)
        conn = self._outgoing.get(item.name)
        if conn is None:
            fleet_address = self._addresses.get(item.name, "")
            conn = OutgoingConn(item.address or fleet_address)
            self._outgoing[item.name] = conn
            conn.task = self._tasks.create_task(
                self._run_outgoing(item.name, conn)
            )
        conn.last_used_at = self._runtime.now()
        if conn.transport_conn is None:
            if len(conn.pending) < MAX_PENDING_MESSAGES:
                conn.pending.append(message)
            return
        with contextlib.suppress(errors.ConnectionLostError):
            conn.transport_conn.enqueue(codec.Envelope(0, message))

    def _add_span_id(self, message: peer.PeerMessage) -> peer.PeerMessage:
        is_request = isinstance(message, peer.ForwardedRequest)
        if self._tracer is None or not is_request:
            return message
        span = self._tracer.span_id_for(message.request.request_id)
        return dataclasses.replace(message, span=span)

    async def _run_outgoing(self, name: str, conn: OutgoingConn) -> None:
        """Opens the connection to the proxy `name` and waits for its end.

        Reports the proxy as lost unless the connection was closed for idleness.
        """
        with contextlib.suppress(errors.FescueshuntError):
            await self._wait_for_address(name, conn)
            async with transport.connect(conn.address) as transport_conn:
                self._send_hello(conn, transport_conn)
                async with self._closing_when_idle(name, conn):
                    async for _ in transport_conn.receive():
                        raise errors.FrameOrderError("unexpected message")
        if self._outgoing.get(name) is not conn:
            return
        if conn.transport_conn is None:
            await asyncio.sleep(RECONNECT_DELAY_S)
        del self._outgoing[name]
        self._runtime.feed(items.PeerLost(self._runtime.now(), name))

    @contextlib.asynccontextmanager
    async def _closing_when_idle(
        self, name: str, conn: OutgoingConn
    ) -> AsyncIterator[None]:
        """Closes the connection if it becomes idle before the context exits."""
        closer = asyncio.create_task(self._close_when_idle(name, conn))
        try:
            yield
        finally:
            closer.cancel()

    async def _close_when_idle(self, name: str, conn: OutgoingConn) -> None:
        while (
            remaining_s := conn.last_used_at
            + LINK_IDLE_TIMEOUT_S
            - self._runtime.now()
        ) > 0:
            await asyncio.sleep(remaining_s)
        del self._outgoing[name]
        await conn.transport_conn.close(IDLE_CLOSE_CODE)

    async def _wait_for_address(self, name: str, conn: OutgoingConn) -> None:
        """Waits until a fleet view provides the address of the proxy `name`.

        A proxy that has just started may have to answer another one before
        its first fleet view.

        Raises:
          NoRouteError: if the address is unknown after `ADDRESS_TIMEOUT_S`.
        """
        if conn.address:
            return
        try:
            async with asyncio.timeout(ADDRESS_TIMEOUT_S):
                await conn.address_known.wait()
        except TimeoutError as exc:
            raise errors.NoRouteError(name) from exc

    def _send_hello(
        self, conn: OutgoingConn, transport_conn: transport.Connection
    ) -> None:
        hello = upstream.Hello(self._local_proxy.name, self._local_proxy.zone)
        transport_conn.enqueue(codec.Envelope(0, hello))
        for message in conn.pending:
            transport_conn.enqueue(codec.Envelope(0, message))
        conn.pending.clear()
        conn.transport_conn = transport_conn
