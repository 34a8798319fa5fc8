"""The filter that takes this host through the steps of a graceful stop.

Only once the listener is closed is the number of connections final, so the
process exits when the last of them has ended after that, and not while one may
still carry a request. It exits at the latest shortly before the grace period
ends, as the platform then kills it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import failures, filters, process, session_items, sessions
from fescueshunt.sessions import items, shutdown

if TYPE_CHECKING:
    from collections.abc import Iterator


class StopSequence(filters.Filter):
    """Closes the listener, then waits until all client connections ended."""

    def __init__(self, grace_s: float) -> None:
        self._shutdown = shutdown.Shutdown(grace_s)
        self._clients: set[int] = set()
        self._unstarted_since: dict[int, float] = {}
        self._busy_clients: set[int] = set()
        self._closed_clients: set[int] = set()
        self._is_stopped = False

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the steps of the stop when they are due."""
        match item:
            case session_items.ClientConnected():
                self._clients.add(item.client)
                self._unstarted_since[item.client] = item.at
            case session_items.SessionRequested():
                yield from self._open_session(item)
            case session_items.StatementReceived():
                self._busy_clients.add(item.client)
                yield item
            case session_items.SendSessionAnswer():
                if item.answer.state is sessions.TransactionState.IDLE:
                    self._busy_clients.discard(item.client)
                yield item
            case session_items.ClientDisconnected():
                self._clients.discard(item.client)
                self._busy_clients.discard(item.client)
                self._closed_clients.discard(item.client)
                self._unstarted_since.pop(item.client, None)
                yield item
            case items.StopStarted():
                self._shutdown.start(item.since)
                yield item
            case filters.Tick():
                yield item
                yield from self._advance(item.at)
            case _:
                yield item

    def _open_session(
        self, item: session_items.SessionRequested
    ) -> Iterator[filters.Item]:
        self._unstarted_since.pop(item.client, None)
        if self._is_stopped or item.client in self._closed_clients:
            yield session_items.RejectSession(
                item.at, item.client, failures.Failure.BUSY, item.route
            )
            return
        self._clients.add(item.client)
        yield item

    def _advance(self, now: float) -> Iterator[filters.Item]:
        if self._is_stopped:
            return
        busy_count = len(self._busy_clients)
        if self._shutdown.should_stop_listening(now, busy_count):
            self._shutdown.stop_listening()
            yield session_items.StopListening(now)
            return
        yield from self._close_unstarted(now)
        if self._shutdown.is_complete(now, len(self._clients)):
            self._is_stopped = True
            yield process.Stopped(now)

    def _close_unstarted(self, now: float) -> Iterator[filters.Item]:
        """Closes the connections whose client has not requested a session."""
        for client, since in list(self._unstarted_since.items()):
            if self._shutdown.should_close(now, since, in_transaction=False):
                del self._unstarted_since[client]
                self._closed_clients.add(client)
                yield session_items.CloseSession(now, client)
