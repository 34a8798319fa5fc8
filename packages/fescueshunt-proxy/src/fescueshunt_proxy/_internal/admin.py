"""Admin connections: statements from operators and the answers to them."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import time
from typing import TYPE_CHECKING

import structlog

from fescueshunt import errors
from fescueshunt.core import items, statements
from fescueshunt_wire import admin as messages
from fescueshunt_wire import codec, failure, transport

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fescueshunt_proxy._internal import access, metrics, runtime

MAX_DENIED_PER_CONN = 5


@dataclasses.dataclass(slots=True)
class AdminConn:
    """The state of an admin connection.

    Attributes:
      transport_conn: the transport connection.
      operator: the operator that signed in, or None before sign-in.
      denied_count: the number of messages that were denied so far.
    """

    transport_conn: transport.Connection
    operator: access.Operator | None = None
    denied_count: int = 0


class AdminConnections:
    """Feeds operators' statements to the core and sends its answers back."""

    def __init__(
        self,
        core_runtime: runtime.Runtime,
        authenticator: access.Authenticator,
        proxy_metrics: metrics.Metrics,
    ) -> None:
        self._runtime = core_runtime
        self._authenticator = authenticator
        self._metrics = proxy_metrics
        self._conns: dict[int, AdminConn] = {}
        self._conn_ids = itertools.count(1)
        self._logger = structlog.get_logger(__name__)
        core_runtime.subscribe(items.AnswerOperator, self._send_answer)

    @contextlib.asynccontextmanager
    async def serving(self, address: str) -> AsyncIterator[str]:
        """Listens for operators at `address`; yields the bound address.

        If `address` is empty, nothing listens and "" is yielded.
        """
        if not address:
            yield ""
            return
        async with transport.listen(address, self._serve) as bound_address:
            yield bound_address

    async def _serve(self, transport_conn: transport.Connection) -> None:
        conn_id = next(self._conn_ids)
        conn = AdminConn(transport_conn)
        self._conns[conn_id] = conn
        try:
            async with transport_conn.answering():
                async for envelope in transport_conn.receive():
                    self._handle_message(conn_id, conn, envelope)
                    if conn.denied_count >= MAX_DENIED_PER_CONN:
                        return
        finally:
            del self._conns[conn_id]

    def _handle_message(
        self, conn_id: int, conn: AdminConn, envelope: codec.Envelope
    ) -> None:
        match envelope.message:
            case messages.SignIn() as sign_in:
                self._sign_in(conn, envelope.seq, sign_in)
            case _ if conn.operator is None:
                self._deny_unauthenticated(conn, envelope.seq)
            case messages.ReadMetrics():
                answer = statements.OperatorAnswer(self._metrics.table())
                _enqueue(conn, envelope.seq, answer)
            case statements.Statement() as statement:
                conn.transport_conn.expect_answer(envelope.seq)
                self._feed_statement(
                    conn_id, conn.operator, envelope.seq, statement
                )
            case _:
                raise errors.FrameOrderError("expected a statement")

    def _sign_in(
        self, conn: AdminConn, seq: int, sign_in: messages.SignIn
    ) -> None:
        try:
            conn.operator = self._authenticator.authenticate(sign_in.token)
        except errors.AccessDeniedError as exc:
            conn.denied_count += 1
            self._metrics.counters["admin.denied"] += 1
            _enqueue(conn, seq, failure.Failure(exc))
            return
        operator = conn.operator
        self._logger.info("operator_signed_in", operator=operator.name)
        signed_in = messages.SignedIn(operator.name, operator.may_change)
        _enqueue(conn, seq, signed_in)

    def _deny_unauthenticated(self, conn: AdminConn, seq: int) -> None:
        conn.denied_count += 1
        error = errors.AccessDeniedError("sign in first")
        _enqueue(conn, seq, failure.Failure(error))

    def _feed_statement(
        self,
        conn_id: int,
        operator: access.Operator,
        seq: int,
        statement: statements.Statement,
    ) -> None:
        self._metrics.counters["admin.statements"] += 1
        self._runtime.feed(
            items.OperatorAsked(
                self._runtime.now(),
                time.time(),
                conn_id,
                seq,
                operator.name,
                operator.may_change,
                statement,
            )
        )

    def _send_answer(self, item: items.AnswerOperator) -> None:
        conn = self._conns.get(item.conn)
        if conn is not None:
            _enqueue(conn, item.seq, item.answer)


def _enqueue(conn: AdminConn, seq: int, message: object) -> None:
    with contextlib.suppress(errors.ConnectionLostError):
        conn.transport_conn.enqueue(codec.Envelope(seq, message))
