"""Clients of every habit that use a host until it ends their connection."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import random
from typing import TYPE_CHECKING

from fescueshunt_standins.hosted import recorded_clients
from lib import stop_load

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ROUTES = (stop_load.PRIMARY_ROUTE, stop_load.REPLICA_ROUTE)
BUFFER_BYTES = 4096
MAX_PAUSE_S = 0.3
MAX_IDLE_S = 1.5
MAX_BATCH = 6
LATE_START_SHARE = 0.2
CONNECT_RETRY_S = 0.02


class ConnectionEndedError(Exception):
    """The host has ended the connection."""


@dataclasses.dataclass(slots=True)
class Statement:
    """A statement that a client sent whole.

    Attributes:
      statement_id: its id, which names the client's habit.
      text: its text.
      batch: the number of the write that it was sent in.
      sent_s: when it was sent; seconds.
      crosses_end: whether the host had ended the connection once it was sent.
      ended_s: when its answer or the end of the connection was read; seconds.
      answer: the complete answer, or None.
    """

    statement_id: str
    text: str
    batch: int
    sent_s: float
    crosses_end: bool = False
    ended_s: float = 0.0
    answer: bytes | None = None


class Records:
    """The statements that clients sent.

    Attributes:
      sent: the statements in the order of their sending.
    """

    def __init__(self, name: str) -> None:
        self.sent: list[Statement] = []
        self._name = name
        self._batches = itertools.count(1)

    def add(self, habit: str, texts: tuple[str, ...]) -> list[Statement]:
        """Records statements that a client of a habit sends in one write."""
        batch = next(self._batches)
        prefix = f"{self._name}.{habit}.{batch}"
        statements = [
            Statement(f"{prefix}.{number}", text, batch, _now())
            for number, text in enumerate(texts)
        ]
        self.sent += statements
        return statements

    def cut(self, received_ids: set[str]) -> list[Statement]:
        """Returns the statements that a host left without an answer.

        One that was sent when the host had already ended the connection is one
        of them only if it was passed on, or sent in one write with a statement
        that was passed on or answered.
        """
        received_batches = {
            statement.batch
            for statement in self.sent
            if statement.answer or statement.statement_id in received_ids
        }
        return [
            statement
            for statement in self.sent
            if statement.answer is None
            and (
                statement.batch in received_batches or not statement.crosses_end
            )
        ]


@dataclasses.dataclass(slots=True)
class Session:
    """A client's session, whose answers are read beside what it sends.

    Attributes:
      pending: the statements without an answer, in order.
      can_read: set while the client reads what the host sends.
    """

    habit: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    records: Records
    rng: random.Random
    pending: collections.deque[Statement] = dataclasses.field(
        default_factory=collections.deque
    )
    can_read: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    _has_ended: bool = False
    _is_changed: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )

    def send(self, *texts: str, last_line: str = "") -> None:
        """Sends statements in one write, without waiting for answers."""
        if self._has_ended:
            raise ConnectionEndedError
        statements = self.records.add(self.habit, texts)
        self.pending.extend(statements)
        lines = [f"QUERY {s.statement_id} {s.text}\r\n" for s in statements]
        self.writer.write("".join((*lines, last_line)).encode())
        crosses_end = stop_load.has_ended(self.writer)
        for statement in statements:
            statement.crosses_end = crosses_end

    async def wait(self, max_pending: int = 0) -> None:
        """Waits until at most `max_pending` statements have no answer."""
        while len(self.pending) > max_pending:
            if self._has_ended:
                raise ConnectionEndedError
            self._is_changed.clear()
            await self._is_changed.wait()

    async def pause(self, max_s: float = MAX_PAUSE_S) -> None:
        """Pauses for a random time, at most `max_s`."""
        await asyncio.sleep(self.rng.uniform(0, max_s))

    def random_texts(self, count: int) -> tuple[str, ...]:
        """Returns statements that need an upstream or none."""
        return tuple(self._random_text() for _ in range(count))

    async def read_answers(self) -> None:
        """Reads answers until the connection ends."""
        lines: list[bytes] = []
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await self.can_read.wait()
                lines.append(await self.reader.readuntil(b"\r\n"))
                if lines[-1].startswith(stop_load.READY):
                    self._record_answer(b"".join(lines))
                    lines = []
        for statement in self.pending:
            statement.ended_s = _now()
        self._has_ended = True
        self._is_changed.set()

    def _random_text(self) -> str:
        value = f"{self.rng.getrandbits(40):x}"
        return self.rng.choice(
            ("READ a", "READ a", f"SET z {value}", f"WRITE a {value}")
        )

    def _record_answer(self, answer: bytes) -> None:
        statement = self.pending.popleft()
        statement.answer = answer
        statement.ended_s = _now()
        self._is_changed.set()


async def _send_one(session: Session) -> None:
    session.send(*session.random_texts(1))
    await session.wait()


async def _speak_at_times(session: Session) -> None:
    while True:
        await session.pause(MAX_IDLE_S)
        await _send_one(session)


async def _run_transactions(session: Session) -> None:
    while True:
        for text in ("BEGIN", *session.random_texts(2), "COMMIT"):
            session.send(text)
            await session.wait()
            await session.pause()


async def _send_batches(session: Session) -> None:
    while True:
        texts = session.random_texts(session.rng.randint(2, MAX_BATCH))
        if session.rng.random() < 0.5:
            texts = ("BEGIN", *texts, "COMMIT")
        session.send(*texts)
        await session.wait()
        await session.pause()


async def _send_ahead(session: Session) -> None:
    max_pending = session.rng.randint(1, MAX_BATCH)
    while True:
        await session.wait(max_pending)
        session.send(*session.random_texts(1))
        await session.pause(MAX_PAUSE_S / 4)


async def _half_close(session: Session) -> None:
    session.send(*session.random_texts(3))
    session.writer.write_eof()
    await session.wait()


async def _terminate(session: Session) -> None:
    session.send(*session.random_texts(3), last_line="TERMINATE\r\n")
    await session.wait()


async def _read_slowly(session: Session) -> None:
    while True:
        session.can_read.clear()
        session.send(*session.random_texts(3))
        await session.pause(MAX_IDLE_S)
        session.can_read.set()
        await session.wait()


HABITS = {
    "one": _send_one,
    "idle": _speak_at_times,
    "transactions": _run_transactions,
    "batches": _send_batches,
    "ahead": _send_ahead,
    "half_close": _half_close,
    "terminate": _terminate,
    "slow": _read_slowly,
}


@contextlib.asynccontextmanager
async def _open_session(
    address: str, habit: str, records: Records, rng: random.Random
) -> AsyncIterator[Session]:
    """Opens a session, of some clients late, and reads its answers meanwhile.

    Raises:
      OSError: if the host does not accept the connection or resets it.
      IncompleteReadError: if the host ends it before the session is open.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await recorded_clients.open_connection(
        host, int(port), limit=BUFFER_BYTES
    )
    with contextlib.ExitStack() as stack:
        stack.callback(writer.close)
        if rng.random() < LATE_START_SHARE:
            await asyncio.sleep(rng.uniform(0, MAX_IDLE_S))
        writer.write(f"START {rng.choice(ROUTES)} tester\r\n".encode())
        welcome = await reader.readuntil(b"\r\n")
        if not welcome.startswith(stop_load.READY):
            raise ConnectionRefusedError
        session = Session(habit, reader, writer, records, rng)
        session.can_read.set()
        task = asyncio.create_task(session.read_answers())
        stack.callback(task.cancel)
        yield session


async def run_client(
    address: str, habit: str, records: Records, rng: random.Random
) -> None:
    """Opens one session after another until the host accepts no more."""
    while True:
        try:
            async with _open_session(address, habit, records, rng) as session:
                with contextlib.suppress(ConnectionEndedError):
                    await HABITS[habit](session)
                    await session.pause()
        except ConnectionRefusedError:
            return
        except (OSError, asyncio.IncompleteReadError):
            await asyncio.sleep(CONNECT_RETRY_S)


def _now() -> float:
    return asyncio.get_running_loop().time()
