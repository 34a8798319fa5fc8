"""The filter that passes on the requests of each client one at a time.

A client may send its next request, end its session or send one that can't be
decoded before it has the answer to the last one. What follows a statement waits
here until that statement is answered. Nothing more is read from the client
meanwhile, so that what waits is bounded by what was read at once.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, session_items

if TYPE_CHECKING:
    from collections.abc import Iterator

    ClientRequest = (
        session_items.StatementReceived
        | session_items.SessionClosed
        | session_items.RequestMalformed
    )


@dataclasses.dataclass(slots=True)
class Inbox:
    """The requests of one client.

    Attributes:
      in_flight: whether a statement was passed on and not yet answered.
      is_paused: whether nothing more is read from the client.
      waiting: the requests that follow that statement.
    """

    in_flight: bool = False
    is_paused: bool = False
    waiting: collections.deque[ClientRequest] = dataclasses.field(
        default_factory=collections.deque
    )


class RequestSequencer(filters.Filter):
    """Holds a client's requests back while one of its statements runs."""

    def __init__(self) -> None:
        self._inboxes: dict[int, Inbox] = {}

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields each request once those before it are answered."""
        match item:
            case (
                session_items.StatementReceived()
                | session_items.SessionClosed()
                | session_items.RequestMalformed()
            ):
                yield from self._receive(item)
            case session_items.SendSessionAnswer():
                yield from self._continue(item)
            case session_items.ClientDisconnected():
                self._inboxes.pop(item.client, None)
                yield item
            case _:
                yield item

    def _receive(self, item: ClientRequest) -> Iterator[filters.Item]:
        inbox = self._inboxes.setdefault(item.client, Inbox())
        if inbox.in_flight:
            inbox.waiting.append(item)
            if not inbox.is_paused:
                inbox.is_paused = True
                yield session_items.PauseClient(item.at, item.client)
            return
        yield from self._pass_on(inbox, item)

    def _continue(
        self, answer: session_items.SendSessionAnswer
    ) -> Iterator[filters.Item]:
        """Yields the request after the answered one, else the answer itself."""
        inbox = self._inboxes.get(answer.client)
        if inbox is None:
            yield answer
            return
        inbox.in_flight = False
        if not inbox.waiting:
            yield answer
            yield from self._resume(inbox, answer)
            return
        item = inbox.waiting.popleft()
        yield from self._pass_on(inbox, dataclasses.replace(item, at=answer.at))

    def _resume(
        self, inbox: Inbox, answer: session_items.SendSessionAnswer
    ) -> Iterator[filters.Item]:
        if inbox.is_paused:
            inbox.is_paused = False
            yield session_items.ResumeClient(answer.at, answer.client)

    def _pass_on(
        self, inbox: Inbox, item: ClientRequest
    ) -> Iterator[filters.Item]:
        inbox.in_flight = isinstance(item, session_items.StatementReceived)
        yield item
