"""Client connections whose messages are written to a journal."""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import itertools
from typing import TYPE_CHECKING, Any

from fescueshunt_standins.hosted import journal, wire_reader

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

DEFAULT_LIMIT_BYTES = 1 << 16
_numbers = itertools.count(1)
_journal: contextvars.ContextVar[journal.Journal | None] = (
    contextvars.ContextVar("client_journal", default=None)
)


@contextlib.contextmanager
def recording(written: journal.Journal) -> Iterator[None]:
    """Writes to a journal what clients do that are created meanwhile."""
    token = _journal.set(written)
    try:
        yield
    finally:
        _journal.reset(token)


class Recording:
    """The messages of one client; kept nowhere without a journal."""

    def __init__(self) -> None:
        self._name = f"c{next(_numbers)}"
        self._journal = _journal.get()
        self._unfinished = {
            journal.Event.CLIENT_SENT: b"",
            journal.Event.CLIENT_RECEIVED: b"",
        }
        self._is_closed = False

    def sent(self, data: bytes) -> None:
        """Takes bytes that the client is about to send."""
        self._add(journal.Event.CLIENT_SENT, data)

    def received(self, data: bytes) -> None:
        """Takes bytes that the client has received."""
        self._add(journal.Event.CLIENT_RECEIVED, data)

    def closed(self) -> None:
        """Takes the end of the connection."""
        if self._journal is not None and not self._is_closed:
            self._is_closed = True
            self._journal.add(journal.Event.CLIENT_CLOSED, self._name)

    def _add(self, event: journal.Event, data: bytes) -> None:
        if self._journal is None or self._is_closed:
            return
        data = self._unfinished[event] + data
        lines, self._unfinished[event] = wire_reader.split_lines(data)
        for line in lines:
            self._journal.add(event, self._name, line)


class _Reader(asyncio.StreamReader):
    """Records what arrives."""

    def __init__(self, limit: int, recorded: Recording) -> None:
        super().__init__(limit, asyncio.get_running_loop())
        self._recorded = recorded

    def feed_data(self, data: bytes) -> None:
        self._recorded.received(data)
        super().feed_data(data)


class _Writer(asyncio.StreamWriter):
    """Records what is sent, and the end of the connection."""

    def __init__(self, recorded: Recording, *args: Any) -> None:
        super().__init__(*args)
        self._recorded = recorded

    def write(self, data: bytes) -> None:
        self._recorded.sent(data)
        super().write(data)

    def writelines(self, data: Iterable[bytes]) -> None:
        self.write(b"".join(data))

    def close(self) -> None:
        self._recorded.closed()
        super().close()


async def open_connection(
    host: str | None = None,
    port: int | None = None,
    *,
    limit: int = DEFAULT_LIMIT_BYTES,
    recorded: Recording | None = None,
    **options: Any,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection like `asyncio.open_connection` and records it.

    Args:
      host: the host to connect to.
      port: the port to connect to.
      limit: the limit of the reader's buffer.
      recorded: the record to go on with, if the client has sent something.
      options: passed on to `create_connection`.
    """
    loop = asyncio.get_running_loop()
    recorded = recorded or Recording()
    reader = _Reader(limit, recorded)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(
        lambda: protocol, host, port, **options
    )
    return reader, _Writer(recorded, transport, protocol, reader, loop)
