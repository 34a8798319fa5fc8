"""Server side of the upstream's line protocol, for the platform stand-in."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from fescueshunt.core import position, sessions
from fescueshunt_standins.hosted import replicas, statements

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CALL_DURATION_S = 0.001
PROXY_STATEMENT_ID = "-"
_STATE_CODES = {
    sessions.TransactionState.IDLE: "I",
    sessions.TransactionState.OPEN: "T",
    sessions.TransactionState.FAILED: "E",
}
_FAILURE_CODES = {
    sessions.Failure.READ_ONLY: "READONLY",
    sessions.Failure.LAGGING: "LAGGING",
    sessions.Failure.NO_STATEMENT: "NOSTMT",
    sessions.Failure.INVALID: "MALFORMED",
}
_VERBS = {
    "READ": sessions.Verb.READ,
    "WRITE": sessions.Verb.WRITE,
    "COMMIT": sessions.Verb.COMMIT,
}


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
    ) -> None:
        self.received_ids: list[str] = []
        self._replica_set = replica_set
        self._member = member
        self._statement_duration_s = statement_duration_s
        self._writers: set[asyncio.StreamWriter] = set()
        self._database = ""

    @contextlib.asynccontextmanager
    async def serving(self, database: str) -> AsyncIterator[str]:
        """Serves on a free loopback port and yields the bound address."""
        self._database = database
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
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
            start_fields = (await reader.readuntil(b"\r\n")).decode().split()
            if not self._is_addressed_to_member(start_fields):
                writer.write(b"ERROR MISROUTED -\r\n")
                return
            writer.write(self._ready_line(session))
            while True:
                line = await reader.readuntil(b"\r\n")
                writer.write(await self._execute_line(session, line.decode()))
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            session.roll_back()
            self._writers.discard(writer)
            writer.close()

    def _is_addressed_to_member(self, start_fields: list[str]) -> bool:
        expected = ["START", self._database]
        member_names = start_fields[3:] or [self._member.name]
        return (
            self._member.up
            and start_fields[:2] == expected
            and member_names == [self._member.name]
        )

    async def _execute_line(
        self, session: statements.UpstreamSession, line: str
    ) -> bytes:
        _, statement_id, text = line.rstrip("\r\n").split(" ", 2)
        await self._wait_for_duration(statement_id)
        call = parse_call(statement_id, text)
        reply_future = asyncio.get_running_loop().create_future()

        def reply(
            failure: sessions.Failure | None = None,
            rows: tuple[str, ...] = (),
            status: sessions.ReplicaStatus | None = None,
        ) -> None:
            if status is not None:
                rows = (_format_status(status),)
            if not reply_future.done():
                reply_future.set_result((failure, rows))

        statements.run(self._replica_set, session, call, reply)
        failure, rows = await reply_future
        lines = [f"ROW {row}\r\n" for row in rows]
        if failure is None:
            lines.append("COMPLETE receipt\r\n")
        else:
            lines.append(f"ERROR {_FAILURE_CODES[failure]} -\r\n")
        return "".join(lines).encode() + self._ready_line(session)

    async def _wait_for_duration(self, statement_id: str) -> None:
        """Takes the time of a client's statement or of a call of the proxy."""
        if statement_id == PROXY_STATEMENT_ID:
            await asyncio.sleep(CALL_DURATION_S)
            return
        self.received_ids.append(statement_id)
        await asyncio.sleep(self._statement_duration_s)

    def _ready_line(self, session: statements.UpstreamSession) -> bytes:
        applied = self._member.applied_position()
        state = _STATE_CODES[session.state]
        return f"READY {state} {_format_position(applied)}\r\n".encode()


def parse_call(statement_id: str, text: str) -> sessions.UpstreamCall:
    """Parses the call in a line that a proxy sent.

    Args:
      statement_id: the id that precedes the text in the line.
      text: the text of the line after the id; `SINCE term.index` in front of
        the call sets the minimum position.
    """
    min_position = None
    if text.startswith("SINCE "):
        _, position_text, text = text.split(" ", 2)
        term, index = position_text.split(".")
        min_position = position.Position(position.Term(int(term)), int(index))
    verb, _, fields_text = text.partition(" ")
    name, _, argument = fields_text.partition(" ")
    match verb:
        case "STATUS":
            return sessions.GetStatus()
        case "PAUSE":
            return sessions.Pause(int(fields_text))
        case "STEPDOWN":
            return sessions.StepDown(int(fields_text))
        case "RESUME":
            return sessions.Resume()
        case "RESET":
            return sessions.Reset()
        case "SET":
            return sessions.SetValue(name, argument)
        case "PREPARE":
            kind, _, shape = argument.partition(" ")
            prepared = sessions.Prepared(kind == "WRITE", shape)
            return sessions.Prepare(name, prepared)
        case "BEGIN":
            begin_statement = sessions.Statement(
                statement_id,
                sessions.Verb.BEGIN,
                text,
                read_only=fields_text == "READ",
            )
            return sessions.Begin(begin_statement, min_position)
        case "ROLLBACK":
            return sessions.Rollback()
        case "EXECUTE":
            statement = _parse_statement(statement_id, text, argument)
            return sessions.RunPrepared(statement, name, min_position)
    statement = _parse_statement(statement_id, text, argument)
    return sessions.RunStatement(statement, min_position)


def _parse_statement(
    statement_id: str, text: str, argument: str
) -> sessions.Statement:
    verb = _VERBS.get(text.split(" ", 1)[0], sessions.Verb.INVALID)
    return sessions.Statement(statement_id, verb, text, argument=argument)


def _format_status(status: sessions.ReplicaStatus) -> str:
    return (
        f"{status.role.value} {status.term} "
        f"{_format_position(status.received)} {status.paused_term} 0 0 "
        f"{status.connections}"
    )


def _format_position(value: position.Position) -> str:
    return f"{value.term.number}.{value.index}"
