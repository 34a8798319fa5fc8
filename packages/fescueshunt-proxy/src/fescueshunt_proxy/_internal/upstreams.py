"""Upstream connections, which run the core's statements and control calls."""

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
class UpstreamConn:
    """The state of an upstream connection that runs statements.

    Attributes:
      task: the task that opens the connection and runs until it ends.
      queue: the calls to send, in order.
    """

    task: asyncio.Task[None] | None = None
    queue: asyncio.Queue[items.RunUpstream] = dataclasses.field(
        default_factory=asyncio.Queue
    )


class UpstreamConnections:
    """Executes the core's upstream calls and feeds it the replies."""

    def __init__(
        self,
        core_runtime: runtime.Runtime,
        upstreams: platform.Upstreams,
        tasks: asyncio.TaskGroup,
    ) -> None:
        self._runtime = core_runtime
        self._upstreams = upstreams
        self._tasks = tasks
        self._conns: dict[int, UpstreamConn] = {}
        core_runtime.subscribe(items.OpenUpstream, self._open_conn)
        core_runtime.subscribe(items.RunUpstream, self._enqueue_call)
        core_runtime.subscribe(items.CloseUpstream, self._close_conn)
        core_runtime.subscribe(items.CallControl, self._start_control_call)

    def _open_conn(self, item: items.OpenUpstream) -> None:
        conn = UpstreamConn()
        self._conns[item.conn] = conn
        conn.task = self._tasks.create_task(self._run_conn(item, conn))

    def _enqueue_call(self, item: items.RunUpstream) -> None:
        conn = self._conns.get(item.conn)
        if conn is not None:
            conn.queue.put_nowait(item)

    def _close_conn(self, item: items.CloseUpstream) -> None:
        conn = self._conns.pop(item.conn, None)
        if conn is not None:
            conn.task.cancel()

    def _start_control_call(self, item: items.CallControl) -> None:
        self._tasks.create_task(self._call_control(item))

    async def _run_conn(
        self, item: items.OpenUpstream, conn: UpstreamConn
    ) -> None:
        """Opens a connection and runs its calls until it fails.

        A call that gets no reply in time ends the connection.
        """
        try:
            async with self._upstreams.connect(item.address) as session:
                self._runtime.feed(
                    items.UpstreamOpened(self._runtime.now(), item.conn)
                )
                await self._run_calls(item.conn, conn, session)
        except errors.FescueshuntError as exc:
            self._conns.pop(item.conn, None)
            self._runtime.feed(
                items.UpstreamFailed(self._runtime.now(), item.conn, exc)
            )

    async def _run_calls(
        self, conn_id: int, conn: UpstreamConn, session: platform.Session
    ) -> None:
        while True:
            item = await _next_call(conn, session)
            reply = await session.execute(item.call, item.timeout_s)
            self._runtime.feed(
                items.UpstreamReplied(self._runtime.now(), conn_id, reply)
            )

    async def _call_control(self, item: items.CallControl) -> None:
        sent_at = self._runtime.now()
        try:
            reply = await self._upstreams.control(
                item.address, item.call, item.timeout_s
            )
        except errors.FescueshuntError as exc:
            self._runtime.feed(
                items.ControlFailed(
                    self._runtime.now(),
                    item.database,
                    item.upstream,
                    item.call,
                    exc,
                )
            )
            return
        self._runtime.feed(
            items.ControlReplied(
                self._runtime.now(),
                item.database,
                item.upstream,
                item.call,
                sent_at,
                reply,
            )
        )


async def _next_call(
    conn: UpstreamConn, session: platform.Session
) -> items.RunUpstream:
    """Waits for the next call and returns it.

    Raises:
      ConnectionLostError: if the connection ends while it is idle.
    """
    next_call = asyncio.ensure_future(conn.queue.get())
    closed = asyncio.ensure_future(session.wait_closed())
    try:
        await asyncio.wait(
            (next_call, closed), return_when=asyncio.FIRST_COMPLETED
        )
        if next_call.done():
            return next_call.result()
        raise errors.ConnectionLostError("closed while idle")
    finally:
        for fut in (next_call, closed):
            fut.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await fut
