"""Joins connections to upstreams to the core."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import session_items
from fescueshunt_proxy._internal.hosted import ports

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from fescueshunt.core import sessions
    from fescueshunt_proxy._internal import runtime


class Links:
    """Opens, uses and closes connections as the core says."""

    def __init__(
        self,
        joined: runtime.Runtime,
        upstreams: ports.Upstreams,
        tasks: asyncio.TaskGroup,
    ) -> None:
        self._joined = joined
        self._upstreams = upstreams
        self._tasks = tasks
        self._open: dict[int, ports.Link] = {}
        self._opening: dict[int, asyncio.Task[None]] = {}
        joined.subscribe(session_items.OpenLink, self._begin)
        joined.subscribe(session_items.CallLink, self._call)
        joined.subscribe(session_items.CloseLink, self._close)

    def _begin(self, item: session_items.OpenLink) -> None:
        task = self._tasks.create_task(self._connect(item))
        self._opening[item.link] = task

    async def _connect(self, item: session_items.OpenLink) -> None:
        listener = _Listener(self._joined, item.link, self._forget)
        try:
            link = await self._upstreams.connect(item.entry, listener)
        except errors.RefusedError as exc:
            listener.lost(exc, exc.failure)
        except errors.FescueshuntError as exc:
            listener.lost(exc, None)
        else:
            self._opened(item.link, link, listener)
        finally:
            self._opening.pop(item.link, None)

    def _opened(
        self, number: int, link: ports.Link, listener: _Listener
    ) -> None:
        if not listener.is_lost:
            self._open[number] = link
            now = self._joined.now()
            self._joined.feed(session_items.LinkOpened(now, number))

    def _forget(self, number: int) -> None:
        self._open.pop(number, None)

    def _call(self, item: session_items.CallLink) -> None:
        link = self._open.get(item.link)
        if link is not None:
            link.send(item.call)

    def _close(self, item: session_items.CloseLink) -> None:
        opening = self._opening.pop(item.link, None)
        if opening is not None:
            opening.cancel()
        link = self._open.pop(item.link, None)
        if link is not None:
            link.close()


class _Listener(ports.LinkListener):
    def __init__(
        self,
        joined: runtime.Runtime,
        number: int,
        forget: Callable[[int], None],
    ) -> None:
        self._joined = joined
        self._number = number
        self._forget = forget
        self.is_lost = False

    def replied(self, reply: sessions.UpstreamReply) -> None:
        now = self._joined.now()
        self._joined.feed(session_items.LinkReplied(now, self._number, reply))

    def lost(
        self,
        error: errors.FescueshuntError,
        refusal: sessions.Failure | None,
    ) -> None:
        self.is_lost = True
        self._forget(self._number)
        now = self._joined.now()
        self._joined.feed(
            session_items.LinkFailed(now, self._number, error, refusal)
        )
