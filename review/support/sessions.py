"""Clients of the hosts, which speak the line protocol."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ANSWER_TIMEOUT_S = 8.0
_ids = itertools.count(1)


class Session:
    """A client's session on a host."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def run(self, text: str) -> list[str]:
        """Sends a statement and returns the lines of its answer.

        Raises:
          OSError: if the connection ends, or no answer comes in time.
        """
        self._writer.write(f"QUERY r{next(_ids):06d} {text}\r\n".encode())
        return await self.read_answer()

    async def read_answer(self) -> list[str]:
        """Reads the lines up to `READY`.

        Raises:
          OSError: if the connection ends, or no answer comes in time.
        """
        answer: list[str] = []
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while not answer or not answer[-1].startswith("READY"):
                line = await self._reader.readline()
                if not line:
                    raise ConnectionResetError("the host closed the session")
                answer.append(line.decode().rstrip("\r\n"))
        return answer


@contextlib.asynccontextmanager
async def opened(address: str, route: str) -> AsyncIterator[Session]:
    """Opens a session for a route and closes it on exit."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    session = Session(reader, writer)
    try:
        writer.write(f"START {route} reviewer\r\n".encode())
        await session.read_answer()
        yield session
    finally:
        writer.close()
