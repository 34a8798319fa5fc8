"""Joins clients' connections to the core."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from fescueshunt.core import session_items
from fescueshunt_proxy._internal.hosted import ports

if TYPE_CHECKING:
    import contextlib

    from fescueshunt.core import sessions
    from fescueshunt_proxy._internal import runtime


class Clients:
    """Numbers clients' connections, and sends each its answers."""

    def __init__(self, joined: runtime.Runtime) -> None:
        self._joined = joined
        self._numbers = itertools.count(1)
        self._conns: dict[int, ports.ClientConnection] = {}
        joined.subscribe(session_items.AcceptSession, self._welcome)
        joined.subscribe(session_items.RejectSession, self._reject)
        joined.subscribe(session_items.SendSessionAnswer, self._answer)
        joined.subscribe(session_items.CloseSession, self._close)

    def serving(
        self, front: ports.Front, address: str
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Serves clients while the block runs."""
        return front.serving(address, self._accept)

    def _accept(self, conn: ports.ClientConnection) -> ports.ClientListener:
        number = next(self._numbers)
        self._conns[number] = conn
        return _Listener(self, self._joined, number)

    def forget(self, number: int) -> None:
        """Forgets a connection that has ended."""
        self._conns.pop(number, None)

    def _welcome(self, item: session_items.AcceptSession) -> None:
        if item.client in self._conns:
            self._conns[item.client].welcome()

    def _reject(self, item: session_items.RejectSession) -> None:
        if item.client in self._conns:
            self._conns[item.client].reject(item.failure, item.detail)

    def _answer(self, item: session_items.SendSessionAnswer) -> None:
        if item.client in self._conns:
            self._conns[item.client].answer(item.statement_id, item.answer)

    def _close(self, item: session_items.CloseSession) -> None:
        if item.client in self._conns:
            self._conns[item.client].close()


class _Listener(ports.ClientListener):
    def __init__(
        self, clients: Clients, joined: runtime.Runtime, number: int
    ) -> None:
        self._clients = clients
        self._joined = joined
        self._number = number

    def started(self, route: str, account: str) -> None:
        now = self._joined.now()
        self._joined.feed(
            session_items.SessionRequested(now, self._number, route, account)
        )

    def received(self, statement: sessions.Statement) -> None:
        now = self._joined.now()
        self._joined.feed(
            session_items.StatementReceived(now, self._number, statement)
        )

    def ended(self) -> None:
        self._clients.forget(self._number)
        now = self._joined.now()
        self._joined.feed(session_items.SessionClosed(now, self._number))
