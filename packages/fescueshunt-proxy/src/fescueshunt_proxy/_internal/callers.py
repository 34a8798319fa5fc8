"""Caller connections: requests from callers and the answers to them."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import time
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import items, request
from fescueshunt.request import ledger
from fescueshunt_wire import codec, failure, transport

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fescueshunt_proxy._internal import runtime

ANSWER_MARGIN_S = 1.0
LISTENER_LIMITS = transport.ListenerLimits(
    max_connections=4096,
    first_frame_timeout_s=5.0,
    idle_timeout_s=300.0,
    answer_timeout_s=ledger.MAX_TIMEOUT_S + ANSWER_MARGIN_S,
)


@dataclasses.dataclass(slots=True)
class CallerConn:
    """The state of a caller's connection.

    Attributes:
      transport_conn: the transport connection.
      last_seq: the sequence number of the latest request; 0 before the first.
    """

    transport_conn: transport.Connection
    last_seq: int = 0


class CallerConnections:
    """Feeds callers' requests to the core and sends its answers back.

    A connection is closed if it sends no frame within the time-outs in
    `limits`, sends a message that is out of order, or does not read its
    answers. The requests before such a message are answered first.
    """

    def __init__(
        self,
        core_runtime: runtime.Runtime,
        limits: transport.ListenerLimits = LISTENER_LIMITS,
    ) -> None:
        self._runtime = core_runtime
        self._limits = limits
        self._conns: dict[int, CallerConn] = {}
        self._conn_ids = itertools.count(1)
        core_runtime.subscribe(items.AnswerCaller, self._send_answer)

    @contextlib.asynccontextmanager
    async def serving(self, address: str) -> AsyncIterator[str]:
        """Listens for callers at `address`; yields the bound address."""
        async with transport.listen(
            address, self._serve, self._limits
        ) as bound_address:
            yield bound_address

    async def _serve(self, transport_conn: transport.Connection) -> None:
        conn_id = next(self._conn_ids)
        transport_conn.on_encode_error = _outcome_unknown_answer
        conn = CallerConn(transport_conn)
        self._conns[conn_id] = conn
        try:
            async with transport_conn.answering():
                async for envelope in transport_conn.receive():
                    self._handle_message(conn_id, conn, envelope)
        finally:
            del self._conns[conn_id]
            self._runtime.feed(items.CallerClosed(self._runtime.now(), conn_id))

    def _handle_message(
        self, conn_id: int, conn: CallerConn, envelope: codec.Envelope
    ) -> None:
        if not isinstance(envelope.message, request.Request):
            raise errors.FrameOrderError("expected a request")
        if envelope.seq <= conn.last_seq:
            raise errors.FrameOrderError("seq must increase")
        conn.last_seq = envelope.seq
        conn.transport_conn.expect_answer(envelope.seq)
        self._runtime.feed(
            items.CallerRequest(
                self._runtime.now(),
                time.time(),
                conn_id,
                envelope.seq,
                envelope.message,
            )
        )

    def _send_answer(self, item: items.AnswerCaller) -> None:
        conn = self._conns.get(item.conn)
        if conn is None:
            return
        with contextlib.suppress(errors.ConnectionLostError):
            conn.transport_conn.enqueue(codec.Envelope(item.seq, item.answer))


def _outcome_unknown_answer(
    envelope: codec.Envelope, error: errors.FrameError
) -> codec.Envelope:
    """Returns a failure to send instead of an answer that can't be encoded."""
    outcome_unknown = errors.OutcomeUnknownError(str(error))
    return codec.Envelope(envelope.seq, failure.Failure(outcome_unknown))
