"""Passes calls and replies between the core and upstream connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import failures, session_items
from fescueshunt_proxy._internal.hosted import upstream_ports

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from fescueshunt.core import sessions
    from fescueshunt_proxy._internal import runtime


class UpstreamConnections:
    """Opens, uses and closes upstream connections on the core's request."""

    def __init__(
        self,
        core_runtime: runtime.Runtime,
        connector: upstream_ports.UpstreamConnector,
        tasks: asyncio.TaskGroup,
    ) -> None:
        self._runtime = core_runtime
        self._connector = connector
        self._tasks = tasks
        self._connections: dict[int, upstream_ports.UpstreamConnection] = {}
        self._connect_tasks: dict[int, asyncio.Task[None]] = {}
        core_runtime.subscribe(
            session_items.OpenConnection, self._start_connecting
        )
        core_runtime.subscribe(session_items.SendCall, self._send_call)
        core_runtime.subscribe(
            session_items.CloseConnection, self._close_connection
        )

    def _start_connecting(self, item: session_items.OpenConnection) -> None:
        task = self._tasks.create_task(self._connect(item))
        self._connect_tasks[item.connection_id] = task

    async def _connect(self, item: session_items.OpenConnection) -> None:
        listener = _UpstreamListener(
            self._runtime, item.connection_id, self._remove
        )
        try:
            conn = await self._connector.connect(
                item.entry, item.account, listener
            )
        except errors.RefusedError as exc:
            listener.on_connection_lost(exc, exc.failure)
        except errors.FescueshuntError as exc:
            listener.on_connection_lost(exc, None)
        else:
            self._handle_opened(item.connection_id, conn, listener)
        finally:
            self._connect_tasks.pop(item.connection_id, None)

    def _handle_opened(
        self,
        link_id: int,
        conn: upstream_ports.UpstreamConnection,
        listener: _UpstreamListener,
    ) -> None:
        if not listener.has_failed:
            self._connections[link_id] = conn
            now = self._runtime.now()
            self._runtime.feed(session_items.ConnectionOpened(now, link_id))

    def _remove(self, link_id: int) -> None:
        self._connections.pop(link_id, None)

    def _send_call(self, item: session_items.SendCall) -> None:
        conn = self._connections.get(item.connection_id)
        if conn is not None:
            conn.send(item.call)

    def _close_connection(self, item: session_items.CloseConnection) -> None:
        connect_task = self._connect_tasks.pop(item.connection_id, None)
        if connect_task is not None:
            connect_task.cancel()
        conn = self._connections.pop(item.connection_id, None)
        if conn is not None:
            conn.close()


class _UpstreamListener(upstream_ports.UpstreamListener):
    def __init__(
        self,
        core_runtime: runtime.Runtime,
        link_id: int,
        remove_connection: Callable[[int], None],
    ) -> None:
        self._runtime = core_runtime
        self._link_id = link_id
        self._remove = remove_connection
        self.has_failed = False

    def on_reply(self, reply: sessions.UpstreamReply) -> None:
        now = self._runtime.now()
        self._runtime.feed(session_items.CallReplied(now, self._link_id, reply))

    def on_connection_lost(
        self,
        error: errors.FescueshuntError,
        refusal: failures.Failure | None,
    ) -> None:
        self.has_failed = True
        self._remove(self._link_id)
        now = self._runtime.now()
        self._runtime.feed(
            session_items.ConnectionFailed(now, self._link_id, error, refusal)
        )
