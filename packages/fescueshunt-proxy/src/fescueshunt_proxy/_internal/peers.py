"""The border towards other proxies: messages in and out."""

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

REDIAL_PAUSE_S = 0.1
LOCATE_S = 3.0
MAX_WAITING = 10_000
LINK_IDLE_S = 10.0
IDLE_CLOSE_CODE = 4000


@dataclasses.dataclass(slots=True)
class Sender:
    """The outgoing connection to one proxy; None before it is open.

    Attributes:
      address: "" until a fleet view names it.
      used_at: when it last sent something; seconds, local clock.
    """

    address: str
    located: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None
    link: transport.Connection | None = None
    used_at: float = 0.0
    waiting: list[peer.PeerMessage] = dataclasses.field(default_factory=list)


class Peers:
    """Source and sink of the connections between proxies.

    Each proxy sends on connections that it dialed and receives on those that
    it accepted. One that has sent nothing for LINK_IDLE_S is closed, so that
    the open ones are as many as the proxies it talks with, not all there are.
    """

    def __init__(
        self,
        joined: runtime.Runtime,
        me: identity.Identity,
        tasks: asyncio.TaskGroup,
        tracer: tracing.Tracer | None,
    ) -> None:
        self._joined = joined
        self._me = me
        self._tasks = tasks
        self._tracer = tracer
        self._senders: dict[str, Sender] = {}
        self._addresses: dict[str, str] = {}
        joined.subscribe(items.SendPeer, self._send)
        joined.subscribe(views.FleetView, self._note_fleet)

    @contextlib.asynccontextmanager
    async def serving(self, address: str) -> AsyncIterator[str]:
        """Accepts other proxies at `address`; yields the bound address."""
        async with transport.listen(address, self._serve) as bound:
            yield bound

    async def _serve(self, conn: transport.Connection) -> None:
        """Takes messages; once they end, answers may be lost on their way."""
        sender = ""
        try:
            async for envelope in conn.receive():
                message = envelope.message
                if isinstance(message, upstream.Hello) and not sender:
                    sender = message.host
                elif isinstance(message, peer.PeerMessage) and sender:
                    self._joined.feed(
                        items.PeerReceived(self._joined.now(), sender, message)
                    )
                else:
                    raise errors.FrameOrderError(type(message).__name__)
        finally:
            if sender and conn.close_code != IDLE_CLOSE_CODE:
                lost = items.PeerLost(self._joined.now(), sender)
                self._joined.feed(lost)

    def _note_fleet(self, view: views.FleetView) -> None:
        self._addresses = {m.name: m.address for m in view.members}
        for name, sender in self._senders.items():
            if not sender.address and name in self._addresses:
                sender.address = self._addresses[name]
                sender.located.set()

    def _send(self, item: items.SendPeer) -> None:
        message = self._with_span(item.message)
        sender = self._senders.get(item.name)
        if sender is None:
            known = self._addresses.get(item.name, "")
            sender = Sender(item.address or known)
            self._senders[item.name] = sender
            sender.task = self._tasks.create_task(self._hold(item.name, sender))
        sender.used_at = self._joined.now()
        if sender.link is None:
            if len(sender.waiting) < MAX_WAITING:
                sender.waiting.append(message)
            return
        with contextlib.suppress(errors.ConnectionLostError):
            sender.link.enqueue(codec.Envelope(0, message))

    def _with_span(self, message: peer.PeerMessage) -> peer.PeerMessage:
        is_request = isinstance(message, peer.ForwardedRequest)
        if self._tracer is None or not is_request:
            return message
        span = self._tracer.span_of(message.request.request_id)
        return dataclasses.replace(message, span=span)

    async def _hold(self, name: str, sender: Sender) -> None:
        """Keeps the connection to `name` open until it is lost or idle."""
        with contextlib.suppress(errors.FescueshuntError):
            await self._locate(name, sender)
            async with transport.connect(sender.address) as conn:
                self._greet(sender, conn)
                async with self._closing_idle(name, sender):
                    async for _ in conn.receive():
                        raise errors.FrameOrderError("unexpected message")
        if self._senders.get(name) is not sender:
            return
        if sender.link is None:
            await asyncio.sleep(REDIAL_PAUSE_S)
        del self._senders[name]
        self._joined.feed(items.PeerLost(self._joined.now(), name))

    @contextlib.asynccontextmanager
    async def _closing_idle(
        self, name: str, sender: Sender
    ) -> AsyncIterator[None]:
        """Closes the connection once it has been idle for long enough."""
        closing = asyncio.create_task(self._close_idle(name, sender))
        try:
            yield
        finally:
            closing.cancel()

    async def _close_idle(self, name: str, sender: Sender) -> None:
        while (left_s := sender.used_at + LINK_IDLE_S - self._joined.now()) > 0:
            await asyncio.sleep(left_s)
        del self._senders[name]
        await sender.link.close(IDLE_CLOSE_CODE)

    async def _locate(self, name: str, sender: Sender) -> None:
        """Waits for the address of a proxy that is heard of before it is known.

        A proxy that has just started may have to answer before its first
        fleet view.
        """
        if sender.address:
            return
        try:
            async with asyncio.timeout(LOCATE_S):
                await sender.located.wait()
        except TimeoutError as exc:
            raise errors.NoRouteError(name) from exc

    def _greet(self, sender: Sender, conn: transport.Connection) -> None:
        hello = upstream.Hello(self._me.name, self._me.zone)
        conn.enqueue(codec.Envelope(0, hello))
        for message in sender.waiting:
            conn.enqueue(codec.Envelope(0, message))
        sender.waiting.clear()
        sender.link = conn
