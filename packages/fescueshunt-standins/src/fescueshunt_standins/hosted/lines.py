"""The line protocol of an upstream, as its stand-in speaks it."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from fescueshunt.core import position, sessions
from fescueshunt_standins.hosted import replicas, statements

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

WORK_S = 0.001
_STATES = {
    sessions.TransactionState.IDLE: "I",
    sessions.TransactionState.OPEN: "T",
    sessions.TransactionState.FAILED: "E",
}
_FAILURES = {
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


class Door:
    """Where connections to one member arrive."""

    def __init__(
        self, group: replicas.ReplicaSet, member: replicas.Member
    ) -> None:
        self._group = group
        self._member = member
        self._writers: set[asyncio.StreamWriter] = set()
        self._database = ""

    @contextlib.asynccontextmanager
    async def serving(self, database: str) -> AsyncIterator[str]:
        """Serves on a free port of loopback; yields the address."""
        self._database = database
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        try:
            port = server.sockets[0].getsockname()[1]
            yield f"127.0.0.1:{port}"
        finally:
            server.close()

    def close_connections(self) -> None:
        """Resets every connection, as a crash does."""
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        session = statements.UpstreamSession(self._member)
        try:
            start = (await reader.readuntil(b"\r\n")).decode().split()
            if not self._is_me(start):
                writer.write(b"ERROR MISROUTED -\r\n")
                return
            writer.write(self._ready(session))
            while True:
                line = await reader.readuntil(b"\r\n")
                await asyncio.sleep(WORK_S)
                writer.write(await self._answer(session, line.decode()))
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            session.roll_back()
            self._writers.discard(writer)
            writer.close()

    def _is_me(self, start: list[str]) -> bool:
        wanted = ["START", self._database]
        names = start[3:] or [self._member.name]
        return (
            self._member.up
            and start[:2] == wanted
            and names == [self._member.name]
        )

    async def _answer(
        self, session: statements.UpstreamSession, line: str
    ) -> bytes:
        _, statement_id, text = line.rstrip("\r\n").split(" ", 2)
        call = decode(statement_id, text)
        done = asyncio.get_running_loop().create_future()

        def reply(
            failure: sessions.Failure | None = None,
            rows: tuple[str, ...] = (),
            status: sessions.ReplicaStatus | None = None,
        ) -> None:
            if status is not None:
                rows = (_status(status),)
            if not done.done():
                done.set_result((failure, rows))

        statements.run(self._group, session, call, reply)
        failure, rows = await done
        lines = [f"ROW {row}\r\n" for row in rows]
        if failure is None:
            lines.append("COMPLETE receipt\r\n")
        else:
            lines.append(f"ERROR {_FAILURES[failure]} -\r\n")
        return "".join(lines).encode() + self._ready(session)

    def _ready(self, session: statements.UpstreamSession) -> bytes:
        place = self._member.applied_position()
        state = _STATES[session.state]
        return f"READY {state} {_place(place)}\r\n".encode()


def decode(statement_id: str, text: str) -> sessions.UpstreamCall:
    """Returns the call that a line of a proxy stands for."""
    since = None
    if text.startswith("SINCE "):
        _, place, text = text.split(" ", 2)
        term, index = place.split(".")
        since = position.Position(position.Term(int(term)), int(index))
    word, _, rest = text.partition(" ")
    name, _, argument = rest.partition(" ")
    match word:
        case "STATUS":
            return sessions.GetStatus()
        case "PAUSE":
            return sessions.Pause(int(rest))
        case "STEPDOWN":
            return sessions.StepDown(int(rest))
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
            begun = sessions.Statement(
                statement_id,
                sessions.Verb.BEGIN,
                text,
                read_only=rest == "READ",
            )
            return sessions.Begin(begun, since)
        case "ROLLBACK":
            return sessions.Rollback()
        case "EXECUTE":
            statement = _statement(statement_id, text, argument)
            return sessions.RunPrepared(statement, name, since)
    statement = _statement(statement_id, text, argument)
    return sessions.RunStatement(statement, since)


def _statement(
    statement_id: str, text: str, argument: str
) -> sessions.Statement:
    verb = _VERBS.get(text.split(" ", 1)[0], sessions.Verb.INVALID)
    return sessions.Statement(statement_id, verb, text, argument=argument)


def _status(status: sessions.ReplicaStatus) -> str:
    return (
        f"{status.role.value} {status.term} "
        f"{_place(status.received)} {status.paused_term} 0 0 "
        f"{status.connections}"
    )


def _place(place: position.Position) -> str:
    return f"{place.term.number}.{place.index}"
