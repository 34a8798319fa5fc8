"""Clients that speak the wire protocol with hosts."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from support2 import hosts, record

LINE_LIMIT_BYTES = 1 << 22
ANSWER_TIMEOUT_S = 5.0
RECONNECT_S = 0.1
KEY = "reviewer"
_ids = itertools.count(1)


class Session:
    """One session of a client."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        record: record.Record,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._record = record

    async def run(self, text: str) -> list[str]:
        """Sends a statement; returns the lines of its answer.

        Raises:
          OSError: if the session ends before the answer.
          TimeoutError: if no whole answer comes.
        """
        statement_id = f"{next(_ids):016x}"
        self._record.note("sent", id=statement_id, text=text)
        self._writer.write(f"QUERY {statement_id} {text}\r\n".encode())
        lines = await self._read_answer()
        self._record.note("answered", id=statement_id, lines=lines[-2:])
        return lines

    async def _read_answer(self) -> list[str]:
        lines: list[str] = []
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while not lines or not lines[-1].startswith("READY"):
                try:
                    line = await self._reader.readuntil(b"\r\n")
                except asyncio.IncompleteReadError as exc:
                    raise ConnectionResetError("session ended") from exc
                lines.append(line.decode()[:-2])
                if len(lines) == 1 and lines[0].startswith("ERROR NODB"):
                    break
        return lines

    async def start(self, route: str) -> None:
        """Starts the session.

        Raises:
          OSError: if the host refuses it.
        """
        self._writer.write(f"START {route} {KEY}\r\n".encode())
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            line = await self._reader.readline()
        if not line.startswith(b"READY"):
            raise ConnectionRefusedError(line.decode())


@contextlib.asynccontextmanager
async def session(
    host: hosts.Host, route: str, record: record.Record
) -> AsyncIterator[Session]:
    """Opens a session on a host, and ends it when the context exits."""
    reader, writer = await asyncio.open_connection(
        host.ip, host.front_port, limit=LINE_LIMIT_BYTES
    )
    try:
        opened = Session(reader, writer, record)
        await opened.start(route)
        yield opened
    finally:
        writer.close()


class Writer:
    """A client that writes a new value again and again.

    Attributes:
      acknowledged: the values whose commit was acknowledged, in order.
    """

    def __init__(
        self, host: hosts.Host, route: str, interval_s: float, number: int
    ) -> None:
        self.acknowledged: list[str] = []
        self._host = host
        self._route = route
        self._interval_s = interval_s
        self._number = number
        self._values = itertools.count(1)

    async def run(self, record: record.Record) -> None:
        """Writes until cancelled; reconnects when its session ends."""
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                async with session(self._host, self._route, record) as opened:
                    while True:
                        await self._write(opened)
                        await asyncio.sleep(self._interval_s)
            await asyncio.sleep(RECONNECT_S)

    async def _write(self, opened: Session) -> None:
        value = f"v{self._number}.{next(self._values)}"
        lines = await opened.run(f"WRITE item{self._number} {value}")
        if lines[0].startswith("COMPLETE r."):
            self.acknowledged.append(value)
