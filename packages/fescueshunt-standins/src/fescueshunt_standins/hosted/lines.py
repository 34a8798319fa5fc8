"""Server side of the upstream's line protocol, for the platform stand-in."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING

from fescueshunt.core import failures, position, sessions
from fescueshunt_standins.hosted import (
    journal,
    observer,
    replicas,
    statements,
    wire_reader,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CALL_DURATION_S = 0.001
_STATE_CODES = {
    sessions.TransactionState.IDLE: "I",
    sessions.TransactionState.OPEN: "T",
    sessions.TransactionState.FAILED: "E",
}
_FAILURE_CODES = {
    failures.Failure.READ_ONLY: "READONLY",
    failures.Failure.LAGGING: "LAGGING",
    failures.Failure.NO_STATEMENT: "NOSTMT",
    failures.Failure.INVALID: "MALFORMED",
}
# A message that is too long is read whole and refused by the reader.
READ_LIMIT_BYTES = 2 * wire_reader.MAX_MESSAGE_BYTES
_HAS_RECEIPT = sessions.RunStatement | sessions.RunPrepared


class MemberListener:
    """Accepts connections to one member of a replica set.

    Attributes:
      received_ids: the ids of the clients' statements that arrived, in order.
    """

    def __init__(
        self,
        replica_set: replicas.ReplicaSet,
        member: replicas.Member,
        statement_duration_s: float,
        recorder: observer.UpstreamRecorder | None = None,
    ) -> None:
        self.received_ids: list[str] = []
        self._replica_set = replica_set
        self._member = member
        self._statement_duration_s = statement_duration_s
        self._writers: set[asyncio.StreamWriter] = set()
        self._database = ""
        self._recorder = recorder or observer.UpstreamRecorder()
        self._receipts = itertools.count(1)

    @contextlib.asynccontextmanager
    async def serving(self, database: str) -> AsyncIterator[str]:
        """Serves on a free loopback port and yields the bound address."""
        self._database = database
        server = await asyncio.start_server(
            self._accept, "127.0.0.1", 0, limit=READ_LIMIT_BYTES
        )
        try:
            port = server.sockets[0].getsockname()[1]
            yield f"127.0.0.1:{port}"
        finally:
            server.close()

    def close_connections(self) -> None:
        """Aborts every connection, as a crash of the member would."""
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        session = statements.UpstreamSession(self._member)
        try:
            with self._recorder.connection(self._member.name) as connection:
                await self._serve(connection, session, reader, writer)
        except (
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            OSError,
        ):
            pass
        finally:
            session.roll_back()
            self._writers.discard(writer)
            writer.close()

    async def _serve(
        self,
        connection: observer.RecordedConnection,
        session: statements.UpstreamSession,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answers the requests on a connection until it ends."""

        def send(data: bytes) -> None:
            connection.sent(data)
            writer.write(data)

        line = await reader.readuntil(wire_reader.LINE_END)
        connection.received(line)
        if not self._is_addressed_to_member(line):
            send(b"ERROR MISROUTED -\r\n")
            return
        send(self._ready_line(session))
        while True:
            try:
                line = await reader.readuntil(wire_reader.LINE_END)
            except asyncio.LimitOverrunError:
                # Shows the judge that there is more than a message may have.
                connection.received(await reader.readexactly(READ_LIMIT_BYTES))
                return
            connection.received(line)
            send(await self._execute_line(session, line))

    def _is_addressed_to_member(self, line: bytes) -> bool:
        try:
            start = wire_reader.read_upstream_request(line)
        except wire_reader.WireError:
            return False
        if not isinstance(start, wire_reader.Start):
            return False
        database, *others = start.words
        member_names = others[1:] or [self._member.name]
        return (
            self._member.up
            and database == self._database
            and member_names == [self._member.name]
        )

    async def _execute_line(
        self, session: statements.UpstreamSession, line: bytes
    ) -> bytes:
        try:
            query = wire_reader.read_upstream_request(line)
        except wire_reader.WireError:
            query = None
        if not isinstance(query, wire_reader.Query):
            return b"ERROR MALFORMED -\r\n" + self._ready_line(session)
        await self._wait_for_duration(query.id)
        call = _interpret(query)
        failure, rows = await self._run(session, call)
        lines = [f"ROW {row}\r\n" for row in rows]
        if failure is None:
            lines.append(f"COMPLETE {self._receipt(call)}\r\n")
        else:
            lines.append(f"ERROR {_FAILURE_CODES[failure]} -\r\n")
        data = "".join(lines).encode(journal.ENCODING)
        return data + self._ready_line(session)

    async def _run(
        self, session: statements.UpstreamSession, call: sessions.UpstreamCall
    ) -> tuple[failures.Failure | None, tuple[str, ...]]:
        """Runs a call; returns the failure, if any, and the rows."""
        reply_future = asyncio.get_running_loop().create_future()

        def reply(
            failure: failures.Failure | None = None,
            rows: tuple[str, ...] = (),
            status: sessions.ReplicaStatus | None = None,
        ) -> None:
            if status is not None:
                rows = (_format_status(status),)
            if not reply_future.done():
                reply_future.set_result((failure, rows))

        statements.run(self._replica_set, session, call, reply)
        return await reply_future

    def _receipt(self, call: sessions.UpstreamCall) -> str:
        """Returns a new receipt for a statement, "-" for other calls."""
        if isinstance(call, _HAS_RECEIPT):
            return f"{self._member.name}.{next(self._receipts)}"
        return "-"

    async def _wait_for_duration(self, statement_id: str) -> None:
        """Takes the time of a client's statement or of a call of the proxy."""
        if statement_id == wire_reader.PROXY_ID:
            await asyncio.sleep(CALL_DURATION_S)
            return
        self.received_ids.append(statement_id)
        await asyncio.sleep(self._statement_duration_s)

    def _ready_line(self, session: statements.UpstreamSession) -> bytes:
        applied = self._member.applied_position()
        state = _STATE_CODES[session.state]
        return f"READY {state} {_format_position(applied)}\r\n".encode()


def _interpret(query: wire_reader.Query) -> sessions.UpstreamCall:
    """Returns the call that a proxy's request stands for."""
    call = query.call
    match call:
        case wire_reader.Control():
            return _control_call(call)
        case wire_reader.Reset():
            return sessions.Reset()
        case wire_reader.SetValue():
            return sessions.SetValue(call.name, call.value)
        case wire_reader.Prepare():
            shape = call.shape
            prepared = sessions.Prepared(shape.writes, shape.text)
            return sessions.Prepare(call.name, prepared)
        case wire_reader.Rollback():
            return sessions.Rollback()
    return _client_call(query)


def _control_call(call: wire_reader.Control) -> sessions.UpstreamCall:
    match call.verb:
        case "STATUS":
            return sessions.GetStatus()
        case "PAUSE":
            return sessions.Pause(call.term)
        case "STEPDOWN":
            return sessions.StepDown(call.term)
        case "RESUME":
            return sessions.Resume()
    raise ValueError(f"unknown control call {call.verb!r}")


def _client_call(query: wire_reader.Query) -> sessions.UpstreamCall:
    """Returns the call that runs a client's statement."""
    min_position = _parse_position(query.since)
    call = query.call
    match call:
        case wire_reader.Begin():
            statement = sessions.Statement(
                query.id,
                sessions.Verb.BEGIN,
                query.text,
                read_only=call.read_only,
            )
            return sessions.Begin(statement, min_position)
        case wire_reader.Execute():
            # The prepared statement tells the verb.
            statement = _statement(
                query, sessions.Verb.INVALID, call.data or ""
            )
            return sessions.RunPrepared(statement, call.name, min_position)
        case wire_reader.Read():
            statement = _statement(query, sessions.Verb.READ)
        case wire_reader.Write():
            statement = _statement(query, sessions.Verb.WRITE, call.data)
        case wire_reader.Commit():
            statement = _statement(query, sessions.Verb.COMMIT)
        case _:
            statement = _statement(query, sessions.Verb.INVALID)
    return sessions.RunStatement(statement, min_position)


def _statement(
    query: wire_reader.Query, verb: sessions.Verb, argument: str = ""
) -> sessions.Statement:
    return sessions.Statement(query.id, verb, query.text, argument=argument)


def _parse_position(since: str | None) -> position.Position | None:
    if since is None:
        return None
    term, index = since.split(".")
    return position.Position(position.Term(int(term)), int(index))


def _format_status(status: sessions.ReplicaStatus) -> str:
    return (
        f"{status.role.value} {status.term} "
        f"{_format_position(status.received)} {status.paused_term} 0 0 "
        f"{status.connections}"
    )


def _format_position(value: position.Position) -> str:
    return f"{value.term.number}.{value.index}"
