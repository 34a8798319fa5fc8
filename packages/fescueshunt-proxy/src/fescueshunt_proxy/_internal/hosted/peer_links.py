"""Links between hosts: messages to and from the core, over WebSocket.

Nothing listens or connects until the core asks for it, and the libraries are
loaded only then, as each host's start is part of an outage.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
from typing import TYPE_CHECKING

import structlog

from fescueshunt import errors
from fescueshunt.core import peer_items

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from fescueshunt_proxy._internal import runtime
    from fescueshunt_proxy._internal.hosted import ports
    from fescueshunt_wire import host_links

# A peer that leaves so many messages unread is given up.
MAX_PENDING_MESSAGES = 5_000


class Outbox:
    """The messages that wait to be sent on a link.

    What is added in one turn of the event loop leaves together.
    """

    def __init__(self) -> None:
        self._pending: collections.deque[peer_items.PeerMessage] = (
            collections.deque()
        )
        self._has_pending = asyncio.Event()

    def add(self, message: peer_items.PeerMessage) -> None:
        """Adds a message.

        Raises:
          OverloadedError: if too many messages wait already.
        """
        if len(self._pending) >= MAX_PENDING_MESSAGES:
            raise errors.OverloadedError("the other host reads too slowly")
        self._pending.append(message)
        self._has_pending.set()

    async def take(self) -> list[peer_items.PeerMessage]:
        """Waits for messages, and removes and returns them."""
        await self._has_pending.wait()
        self._has_pending.clear()
        messages = list(self._pending)
        self._pending.clear()
        return messages


class PeerLinks:
    """Opens links to other hosts, and accepts those of others."""

    def __init__(
        self,
        core_runtime: runtime.Runtime,
        transport: ports.PeerTransport,
        tasks: asyncio.TaskGroup,
    ) -> None:
        self._runtime = core_runtime
        self._transport = transport
        self._tasks = tasks
        self._link_ids = itertools.count(1)
        self._is_listening = False
        self._outgoing: dict[str, tuple[Outbox, asyncio.Task[None]]] = {}
        self._accepted: dict[int, tuple[Outbox, Callable[[], None]]] = {}
        core_runtime.subscribe(peer_items.ListenForPeers, self._start_listening)
        core_runtime.subscribe(peer_items.AskPeer, self._ask)
        core_runtime.subscribe(peer_items.AnswerPeer, self._answer)
        core_runtime.subscribe(peer_items.DropPeer, self._drop)

    def _start_listening(self, _: peer_items.ListenForPeers) -> None:
        if not self._is_listening:
            self._is_listening = True
            self._tasks.create_task(self._listen())

    async def _listen(self) -> None:
        try:
            await self._transport.listen(self._serve)
        except OSError as exc:
            structlog.get_logger(__name__).error(
                "peers_not_served", error=str(exc)
            )

    async def _serve(self, link: host_links.Link) -> None:
        """Serves a link that another host has opened."""
        link_id = next(self._link_ids)
        outbox = Outbox()
        self._accepted[link_id] = (outbox, link.abort)
        try:
            async with _sending(link, outbox):
                async for message in link.receive():
                    self._runtime.feed(
                        peer_items.PeerAsked(
                            self._runtime.now(), link_id, link.host, message
                        )
                    )
        finally:
            del self._accepted[link_id]
            now = self._runtime.now()
            self._runtime.feed(peer_items.PeerLinkEnded(now, link_id))

    def _answer(self, item: peer_items.AnswerPeer) -> None:
        if item.link not in self._accepted:
            return
        outbox, abort = self._accepted[item.link]
        try:
            outbox.add(item.message)
        except errors.OverloadedError:
            abort()

    def _ask(self, item: peer_items.AskPeer) -> None:
        if item.host not in self._outgoing:
            outbox = Outbox()
            task = self._tasks.create_task(
                self._run_outgoing(item.host, item.address, outbox)
            )
            self._outgoing[item.host] = (outbox, task)
        outbox, task = self._outgoing[item.host]
        try:
            outbox.add(item.message)
        except errors.OverloadedError:
            task.cancel()

    async def _run_outgoing(
        self, host: str, address: str, outbox: Outbox
    ) -> None:
        """Opens a link to a host, and feeds what it answers."""
        try:
            async with (
                self._transport.connect(address) as link,
                _sending(link, outbox),
            ):
                async for message in link.receive():
                    self._runtime.feed(
                        peer_items.PeerAnswered(
                            self._runtime.now(), host, message
                        )
                    )
        except errors.FescueshuntError as exc:
            structlog.get_logger(__name__).info(
                "peer_link_failed", peer=host, error=exc.code
            )
        finally:
            current = self._outgoing.get(host)
            if current is not None and current[0] is outbox:
                del self._outgoing[host]
                now = self._runtime.now()
                self._runtime.feed(peer_items.PeerLost(now, host))

    def _drop(self, item: peer_items.DropPeer) -> None:
        _, task = self._outgoing.pop(item.host, (None, None))
        if task is not None:
            task.cancel()
            # Other pipes use the same link; a sink must not feed items itself.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._report_lost, item.host)

    def _report_lost(self, host: str) -> None:
        self._runtime.feed(peer_items.PeerLost(self._runtime.now(), host))


@contextlib.asynccontextmanager
async def _sending(
    link: host_links.Link, outbox: Outbox
) -> AsyncIterator[None]:
    """Sends what the outbox holds until the context exits."""

    async def send_pending() -> None:
        while True:
            await link.send(await outbox.take())

    task = asyncio.create_task(send_pending())
    try:
        yield
    finally:
        task.cancel()
        with contextlib.suppress(
            asyncio.CancelledError, errors.FescueshuntError
        ):
            await task
