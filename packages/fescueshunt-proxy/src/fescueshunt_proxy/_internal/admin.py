"""The border towards operators: statements in, answers out."""

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

MAX_DENIED_AT_ONCE = 5


@dataclasses.dataclass(slots=True)
class AdminConn:
    """A connection of an operator; `operator` is None before it signed in."""

    link: transport.Connection
    operator: access.Operator | None = None
    denied: int = 0


class Admin:
    """Source and sink of the operators' connections."""

    def __init__(
        self,
        joined: runtime.Runtime,
        tokens: access.Tokens,
        measured: metrics.Metrics,
    ) -> None:
        self._joined = joined
        self._tokens = tokens
        self._measured = measured
        self._conns: dict[int, AdminConn] = {}
        self._numbers = itertools.count(1)
        self._logger = structlog.get_logger(__name__)
        joined.subscribe(items.AnswerOperator, self._answer)

    @contextlib.asynccontextmanager
    async def serving(self, address: str) -> AsyncIterator[str]:
        """Accepts operators at `address`; yields the bound address.

        An empty address means no admin listener.
        """
        if not address:
            yield ""
            return
        async with transport.listen(address, self._serve) as bound:
            yield bound

    async def _serve(self, conn_link: transport.Connection) -> None:
        number = next(self._numbers)
        conn = AdminConn(conn_link)
        self._conns[number] = conn
        try:
            async for envelope in conn_link.receive():
                self._take(number, conn, envelope)
                if conn.denied >= MAX_DENIED_AT_ONCE:
                    return
        finally:
            del self._conns[number]

    def _take(
        self, number: int, conn: AdminConn, envelope: codec.Envelope
    ) -> None:
        match envelope.message:
            case messages.SignIn() as asked:
                self._sign_in(conn, envelope.seq, asked)
            case _ if conn.operator is None:
                self._deny(conn, envelope.seq)
            case messages.ReadMetrics():
                answer = statements.OperatorAnswer(self._measured.table())
                _post(conn, envelope.seq, answer)
            case statements.Statement() as asked:
                self._ask(number, conn.operator, envelope.seq, asked)
            case _:
                raise errors.FrameOrderError("expected a statement")

    def _sign_in(
        self, conn: AdminConn, seq: int, asked: messages.SignIn
    ) -> None:
        try:
            conn.operator = self._tokens.find(asked.token)
        except errors.AccessDeniedError as exc:
            conn.denied += 1
            self._measured.counters["admin.denied"] += 1
            _post(conn, seq, failure.Failure(exc))
            return
        operator = conn.operator
        self._logger.info("operator_signed_in", operator=operator.name)
        signed_in = messages.SignedIn(operator.name, operator.may_change)
        _post(conn, seq, signed_in)

    def _deny(self, conn: AdminConn, seq: int) -> None:
        conn.denied += 1
        error = errors.AccessDeniedError("sign in first")
        _post(conn, seq, failure.Failure(error))

    def _ask(
        self,
        number: int,
        operator: access.Operator,
        seq: int,
        asked: statements.Statement,
    ) -> None:
        self._measured.counters["admin.statements"] += 1
        self._joined.feed(
            items.OperatorAsked(
                self._joined.now(),
                time.time(),
                number,
                seq,
                operator.name,
                operator.may_change,
                asked,
            )
        )

    def _answer(self, item: items.AnswerOperator) -> None:
        conn = self._conns.get(item.conn)
        if conn is not None:
            _post(conn, item.seq, item.answer)


def _post(conn: AdminConn, seq: int, message: object) -> None:
    with contextlib.suppress(errors.ConnectionLostError):
        conn.link.enqueue(codec.Envelope(seq, message))
