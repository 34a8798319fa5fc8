"""Clients that send statements to a host while it stops, and their records."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import select
from typing import TYPE_CHECKING

from fescueshunt_standins.hosted import deployment, recorded_clients

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

REPLICA_ROUTE = "gate-status"
PRIMARY_ROUTE = "card-renew"
READY = b"READY"
ANSWER_TIMEOUT_S = 8.0
PAUSE_S = 0.03


@dataclasses.dataclass(slots=True)
class SentStatement:
    """A statement that a client sent whole.

    Attributes:
      statement_id: its id.
      sent_s: when it was sent; seconds after SIGTERM.
      crosses_end: whether the host had ended the connection once it was sent.
      ended_s: when its answer was complete or its connection ended.
      answer: the complete answer, or None.
    """

    statement_id: str
    sent_s: float
    crosses_end: bool = False
    ended_s: float = 0.0
    answer: bytes | None = None

    def describe(self) -> str:
        return (
            f"{self.statement_id}: sent {self.sent_s:.3f} s after SIGTERM, "
            f"closed without an answer at {self.ended_s:.3f} s"
        )


class StopLoad:
    """The clients of one stopping host.

    Attributes:
      sent: the statements that were sent, in order.
      refused_count: the connections that ended before the session was open,
        or while it was idle and before its first statement.
    """

    def __init__(self, name: str, address: str, stop_at: float) -> None:
        self.sent: list[SentStatement] = []
        self.refused_count = 0
        self._name = name
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._stop_at = stop_at
        self._numbers = itertools.count(1)

    async def run_short_session(self, start_s: float, route: str) -> None:
        """Opens a session at `start_s` after SIGTERM for one statement."""
        await self._sleep_until(start_s)
        await self._run_session(lambda: False, route)

    async def run_long_session(self, start_s: float, end_s: float) -> None:
        """Sends statements with pauses in one session until it is closed."""
        await self._sleep_until(start_s)
        await self._run_session(lambda: self._elapsed_s() < end_s)

    async def run_transactions(self, start_s: float) -> None:
        """Runs transactions in one session until it is closed."""
        await self._sleep_until(start_s)
        texts = itertools.cycle(("BEGIN", "WRITE a 1", "READ a", "COMMIT"))
        await self._run_session(lambda: True, PRIMARY_ROUTE, texts)

    def lost(self, received_ids: set[str]) -> list[SentStatement]:
        """Returns the statements that the host left without an answer.

        A statement that was sent when the host had already ended the connection
        is one of them only if it reached an upstream. The platform kills a host
        at the end of its grace period.
        """
        return [
            statement
            for statement in self.sent
            if statement.answer is None
            and statement.sent_s < deployment.GRACE_S
            and (
                statement.statement_id in received_ids
                or not statement.crosses_end
            )
        ]

    def _elapsed_s(self) -> float:
        return asyncio.get_running_loop().time() - self._stop_at

    async def _sleep_until(self, elapsed_s: float) -> None:
        await asyncio.sleep(max(0.0, elapsed_s - self._elapsed_s()))

    async def _run_session(
        self,
        goes_on: Callable[[], bool],
        route: str = REPLICA_ROUTE,
        texts: Iterable[str] = itertools.repeat("READ a"),
    ) -> None:
        writer = None
        try:
            reader, writer = await recorded_clients.open_connection(
                self._host, self._port
            )
            writer.write(f"START {route} tester\r\n".encode())
            welcome = await reader.readuntil(b"\r\n")
            if not welcome.startswith(READY) or has_ended(writer):
                self.refused_count += 1
                return
            for text in texts:
                if not await self._execute(reader, writer, text):
                    return
                if not goes_on():
                    return
                await asyncio.sleep(PAUSE_S)
                if has_ended(writer):
                    return
        except (OSError, asyncio.IncompleteReadError):
            self.refused_count += 1
        finally:
            if writer is not None:
                writer.close()

    async def _execute(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        text: str,
    ) -> bool:
        """Sends a statement; returns whether its answer was complete."""
        statement_id = f"{self._name}-{next(self._numbers)}"
        statement = SentStatement(statement_id, self._elapsed_s())
        self.sent.append(statement)
        writer.write(f"QUERY {statement_id} {text}\r\n".encode())
        statement.crosses_end = has_ended(writer)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                statement.answer = await _read_answer(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            statement.answer = None
        statement.ended_s = self._elapsed_s()
        return statement.answer is not None


def has_ended(writer: asyncio.StreamWriter) -> bool:
    """Returns whether the host has ended a connection, by what has arrived.

    It does not matter whether the client has read so far.
    """
    sock = writer.get_extra_info("socket")
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


async def _read_answer(reader: asyncio.StreamReader) -> bytes:
    """Returns all lines up to and including the `READY` line."""
    lines = [await reader.readuntil(b"\r\n")]
    while not lines[-1].startswith(READY):
        lines.append(await reader.readuntil(b"\r\n"))
    return b"".join(lines)


def dense_starts(from_s: float, to_s: float, interval_s: float) -> list[float]:
    """Returns evenly spaced start times."""
    count = round((to_s - from_s) / interval_s)
    return [from_s + number * interval_s for number in range(count)]


def sparse_starts(
    rng: random.Random, from_s: float, to_s: float, mean_s: float
) -> list[float]:
    """Returns start times with random gaps whose mean is `mean_s`."""
    starts = []
    at = from_s + rng.expovariate(1 / mean_s)
    while at < to_s:
        starts.append(at)
        at += rng.expovariate(1 / mean_s)
    return starts
