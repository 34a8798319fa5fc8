"""The border towards callers: requests in, answers out."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import time
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import items, request
from fescueshunt_wire import codec, failure, transport

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fescueshunt_proxy._internal import runtime

LIMITS = transport.ListenerLimits(
    max_connections=4096, first_frame_timeout_s=5.0, idle_timeout_s=300.0
)


@dataclasses.dataclass(slots=True)
class CallerConn:
    """One connection of a caller; `last_seq` is its newest request."""

    link: transport.Connection
    last_seq: int = 0


class Callers:
    """Source and sink of callers' connections.

    A connection ends that sends no frame for as long as `limits` says, that
    sends one out of order, or that doesn't read its answers.
    """

    def __init__(
        self, joined: runtime.Runtime, limits: transport.ListenerLimits = LIMITS
    ) -> None:
        self._joined = joined
        self._limits = limits
        self._conns: dict[int, CallerConn] = {}
        self._numbers = itertools.count(1)
        joined.subscribe(items.AnswerCaller, self._answer)

    @contextlib.asynccontextmanager
    async def serving(self, address: str) -> AsyncIterator[str]:
        """Accepts callers at `address`; yields the bound address."""
        async with transport.listen(
            address, self._serve, self._limits
        ) as bound:
            yield bound

    async def _serve(self, conn_link: transport.Connection) -> None:
        number = next(self._numbers)
        conn_link.on_encode_error = _unknown
        conn = CallerConn(conn_link)
        self._conns[number] = conn
        try:
            async for envelope in conn_link.receive():
                self._take(number, conn, envelope)
        finally:
            del self._conns[number]
            self._joined.feed(items.CallerClosed(self._joined.now(), number))

    def _take(
        self, number: int, conn: CallerConn, envelope: codec.Envelope
    ) -> None:
        if not isinstance(envelope.message, request.Request):
            raise errors.FrameOrderError("expected a request")
        if envelope.seq <= conn.last_seq:
            raise errors.FrameOrderError("seq must grow")
        conn.last_seq = envelope.seq
        self._joined.feed(
            items.CallerRequest(
                self._joined.now(),
                time.time(),
                number,
                envelope.seq,
                envelope.message,
            )
        )

    def _answer(self, item: items.AnswerCaller) -> None:
        conn = self._conns.get(item.conn)
        if conn is None:
            return
        with contextlib.suppress(errors.ConnectionLostError):
            conn.link.enqueue(codec.Envelope(item.seq, item.answer))


def _unknown(
    envelope: codec.Envelope, error: errors.FrameError
) -> codec.Envelope:
    """Returns what is said in place of an answer that can't be sent."""
    unknown = errors.OutcomeUnknownError(str(error))
    return codec.Envelope(envelope.seq, failure.Failure(unknown))
