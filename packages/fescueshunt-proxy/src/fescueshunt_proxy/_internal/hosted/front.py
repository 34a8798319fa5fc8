"""Passes events and answers between client connections and the core."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
from typing import TYPE_CHECKING

from fescueshunt.core import client_limits, session_items
from fescueshunt_proxy._internal.hosted import client_ports

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fescueshunt.core import accounts, sessions
    from fescueshunt_proxy._internal import runtime


# How often clients that take too long are looked for.
OVERDUE_CHECK_S = 0.5


class ClientConnections:
    """Assigns client ids and sends the core's answers to their clients."""

    def __init__(
        self, core_runtime: runtime.Runtime, limits: client_limits.Limits
    ) -> None:
        self._runtime = core_runtime
        self._limiter = client_limits.ClientLimiter(limits)
        self._next_ids = itertools.count(1)
        self._conns: dict[int, client_ports.ClientConnection] = {}
        self._unanswered: dict[int, collections.deque[str]] = {}
        core_runtime.subscribe(session_items.AcceptSession, self._send_welcome)
        core_runtime.subscribe(
            session_items.RejectSession, self._send_rejection
        )
        core_runtime.subscribe(
            session_items.SendSessionAnswer, self._send_answer
        )
        core_runtime.subscribe(
            session_items.CloseSession, self._close_connection
        )
        core_runtime.subscribe(session_items.PauseClient, self._pause_reading)
        core_runtime.subscribe(session_items.ResumeClient, self._resume_reading)

    @contextlib.asynccontextmanager
    async def serving(
        self, front_end: client_ports.FrontEnd, address: str
    ) -> AsyncIterator[None]:
        """Accepts clients at `address` until the core stops listening."""
        async with front_end.serving(address, self._accept) as listener:
            self._runtime.subscribe(
                session_items.StopListening, lambda _: listener.close()
            )
            yield

    def _accept(
        self, conn: client_ports.ClientConnection
    ) -> client_ports.ClientListener:
        client_id = next(self._next_ids)
        self._conns[client_id] = conn
        now = self._runtime.now()
        self._runtime.feed(session_items.ClientConnected(now, client_id))
        surplus = self._limiter.open(client_id, now)
        if surplus is not None:
            self._drop(surplus, client_limits.DropReason.TOO_MANY_CLIENTS)
        return _ClientListener(self, self._runtime, client_id)

    async def drop_overdue(self) -> None:
        """Drops the clients that take too long, until cancelled."""
        while True:
            await asyncio.sleep(OVERDUE_CHECK_S)
            for client_id, reason in self._limiter.overdue(self._runtime.now()):
                self._drop(client_id, reason)

    def record_use(
        self, client_id: int, held_bytes: int, wait: client_limits.Wait | None
    ) -> None:
        """Records what a client holds; drops clients that hold too much."""
        now = self._runtime.now()
        self._limiter.update(client_id, held_bytes, wait, now)
        while (largest := self._limiter.largest()) is not None:
            self._drop(largest, client_limits.DropReason.TOO_MUCH_MEMORY)

    def try_run(self, client_id: int, message_bytes: int) -> bool:
        """Returns whether there is memory to run a client's message."""
        return self._limiter.try_run(client_id, message_bytes)

    def end_run(self, client_id: int) -> None:
        """Records that a client's message does not run any more."""
        self._limiter.end_run(client_id)

    def _drop(self, client_id: int, reason: client_limits.DropReason) -> None:
        """Ends a client's connection; its session ends when that is gone."""
        held_bytes = self._limiter.held_bytes
        self._limiter.close(client_id)
        conn = self._conns.get(client_id)
        if conn is None:
            return
        self._runtime.feed(
            session_items.ClientDropped(
                self._runtime.now(),
                client_id,
                reason,
                conn.address,
                held_bytes,
            )
        )
        conn.drop()

    @property
    def open_count(self) -> int:
        """The number of open client connections."""
        return len(self._conns)

    @property
    def unanswered(self) -> list[str]:
        """The ids of the statements that open connections wait for."""
        return [
            statement_id
            for waiting in self._unanswered.values()
            for statement_id in waiting
        ]

    def record_statement(self, client_id: int, statement_id: str) -> None:
        """Records that a client has sent a statement."""
        waiting = self._unanswered.setdefault(client_id, collections.deque())
        waiting.append(statement_id)

    def remove(self, client_id: int) -> None:
        """Removes a client connection that has ended."""
        self._conns.pop(client_id, None)
        self._limiter.close(client_id)
        self._unanswered.pop(client_id, None)

    def _send_welcome(self, item: session_items.AcceptSession) -> None:
        if item.client in self._conns:
            self._conns[item.client].welcome()

    def _send_rejection(self, item: session_items.RejectSession) -> None:
        if item.client in self._conns:
            self._conns[item.client].reject(item.failure, item.detail)

    def _send_answer(self, item: session_items.SendSessionAnswer) -> None:
        if item.client in self._conns:
            self._unanswered[item.client].popleft()
            self._conns[item.client].answer(item.statement_id, item.answer)

    def _close_connection(self, item: session_items.CloseSession) -> None:
        if item.client in self._conns:
            self._conns[item.client].close()

    def _pause_reading(self, item: session_items.PauseClient) -> None:
        if item.client in self._conns:
            self._conns[item.client].pause_reading()

    def _resume_reading(self, item: session_items.ResumeClient) -> None:
        if item.client in self._conns:
            self._conns[item.client].resume_reading()


class _ClientListener(client_ports.ClientListener):
    def __init__(
        self,
        clients: ClientConnections,
        core_runtime: runtime.Runtime,
        client_id: int,
    ) -> None:
        self._clients = clients
        self._runtime = core_runtime
        self._client_id = client_id

    def on_session_started(self, route: str, key: accounts.KeyDigest) -> None:
        now = self._runtime.now()
        self._runtime.feed(
            session_items.SessionRequested(now, self._client_id, route, key)
        )

    def on_use(self, held_bytes: int, wait: client_limits.Wait | None) -> None:
        self._clients.record_use(self._client_id, held_bytes, wait)

    def try_run(self, message_bytes: int) -> bool:
        return self._clients.try_run(self._client_id, message_bytes)

    def end_run(self) -> None:
        self._clients.end_run(self._client_id)

    def on_statement(self, statement: sessions.Statement) -> None:
        self._clients.record_statement(self._client_id, statement.statement_id)
        now = self._runtime.now()
        self._runtime.feed(
            session_items.StatementReceived(now, self._client_id, statement)
        )

    def on_malformed_request(self, detail: str) -> None:
        now = self._runtime.now()
        self._runtime.feed(
            session_items.RequestMalformed(now, self._client_id, detail)
        )

    def on_session_ended(self) -> None:
        now = self._runtime.now()
        self._runtime.feed(session_items.SessionClosed(now, self._client_id))

    def on_disconnected(self) -> None:
        self._clients.remove(self._client_id)
        now = self._runtime.now()
        self._runtime.feed(
            session_items.ClientDisconnected(now, self._client_id)
        )
