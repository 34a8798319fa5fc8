"""The border towards upstreams: connections, statements, control calls."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import items

if TYPE_CHECKING:
    from fescueshunt_proxy._internal import platform, runtime


@dataclasses.dataclass(slots=True)
class OpenConn:
    """A connection for statements and the call that it shall send next."""

    task: asyncio.Task[None] | None = None
    calls: asyncio.Queue[items.RunUpstream] = dataclasses.field(
        default_factory=asyncio.Queue
    )


class Upstreams:
    """Source and sink of the connections to upstreams."""

    def __init__(
        self,
        joined: runtime.Runtime,
        upstreams: platform.Upstreams,
        tasks: asyncio.TaskGroup,
    ) -> None:
        self._joined = joined
        self._upstreams = upstreams
        self._tasks = tasks
        self._conns: dict[int, OpenConn] = {}
        joined.subscribe(items.OpenUpstream, self._open)
        joined.subscribe(items.RunUpstream, self._run)
        joined.subscribe(items.CloseUpstream, self._close)
        joined.subscribe(items.CallControl, self._control)

    def _open(self, item: items.OpenUpstream) -> None:
        conn = OpenConn()
        self._conns[item.conn] = conn
        conn.task = self._tasks.create_task(self._hold(item, conn))

    def _run(self, item: items.RunUpstream) -> None:
        conn = self._conns.get(item.conn)
        if conn is not None:
            conn.calls.put_nowait(item)

    def _close(self, item: items.CloseUpstream) -> None:
        conn = self._conns.pop(item.conn, None)
        if conn is not None:
            conn.task.cancel()

    def _control(self, item: items.CallControl) -> None:
        self._tasks.create_task(self._call_control(item))

    async def _hold(self, item: items.OpenUpstream, conn: OpenConn) -> None:
        """Keeps one connection; an abandoned call ends it."""
        try:
            async with self._upstreams.connect(item.address) as session:
                self._joined.feed(
                    items.UpstreamOpened(self._joined.now(), item.conn)
                )
                await self._serve(item.conn, conn, session)
        except errors.FescueshuntError as exc:
            self._conns.pop(item.conn, None)
            self._joined.feed(
                items.UpstreamFailed(self._joined.now(), item.conn, exc)
            )

    async def _serve(
        self, number: int, conn: OpenConn, session: platform.Session
    ) -> None:
        while True:
            call = await _next_call(conn, session)
            reply = await session.execute(call.call, call.timeout_s)
            self._joined.feed(
                items.UpstreamReplied(self._joined.now(), number, reply)
            )

    async def _call_control(self, item: items.CallControl) -> None:
        sent_at = self._joined.now()
        try:
            reply = await self._upstreams.control(
                item.address, item.call, item.timeout_s
            )
        except errors.FescueshuntError as exc:
            self._joined.feed(
                items.ControlFailed(
                    self._joined.now(),
                    item.database,
                    item.upstream,
                    item.call,
                    exc,
                )
            )
            return
        self._joined.feed(
            items.ControlReplied(
                self._joined.now(),
                item.database,
                item.upstream,
                item.call,
                sent_at,
                reply,
            )
        )


async def _next_call(
    conn: OpenConn, session: platform.Session
) -> items.RunUpstream:
    """Returns the next call; raises if the idle connection ends first."""
    waiting = asyncio.ensure_future(conn.calls.get())
    closed = asyncio.ensure_future(session.wait_closed())
    try:
        await asyncio.wait(
            (waiting, closed), return_when=asyncio.FIRST_COMPLETED
        )
        if waiting.done():
            return waiting.result()
        raise errors.ConnectionLostError("closed while idle")
    finally:
        for fut in (waiting, closed):
            fut.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await fut
