"""Continuous writers that record the outcome of each write for checks."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import request
from fescueshunt_cli import caller

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

SCHEMA = "CREATE TABLE written (key TEXT)"
WRITE_DELAY_S = 0.005
RECONNECT_DELAY_S = 0.05
WRITE_TIMEOUT_S = 5.0
ERRORS_OF_LOST_PROXY = (errors.ConnectionLostError, errors.StoppingError)


@dataclasses.dataclass(slots=True)
class WriteLog:
    """The outcomes of writes, each of which has its own key.

    Attributes:
      done: the time of the acknowledgement by key, on the event loop's clock.
      latencies: the latencies of the acknowledged writes, in seconds.
      not_run: the keys of writes that were rejected as not run.
      unknown: the keys of writes whose outcome is unknown.
    """

    done: dict[str, float] = dataclasses.field(default_factory=dict)
    latencies: list[float] = dataclasses.field(default_factory=list)
    not_run: set[str] = dataclasses.field(default_factory=set)
    unknown: set[str] = dataclasses.field(default_factory=set)

    def longest_gap_after(self, start: float) -> float:
        """Returns the longest gap between acknowledgements, in seconds.

        Args:
          start: the beginning of the first gap, on the event loop's clock.
        """
        times = sorted(at for at in self.done.values() if at >= start)
        bounds = [start, *times]
        pairs = zip(bounds, bounds[1:], strict=False)
        return max((end - begin for begin, end in pairs), default=0.0)

    def find_contradictions(self, rows: Iterable[str]) -> list[str]:
        """Returns the contradictions between the rows and the outcomes.

        Args:
          rows: the keys in the final table.

        Returns:
          A description of each acknowledged write that is lost, of each write
          that ran although it was reported as not run, and of each write that
          ran twice.
        """
        counts: dict[str, int] = {}
        for key in rows:
            counts[key] = counts.get(key, 0) + 1
        lost = [f"lost {key}" for key in self.done if key not in counts]
        ran = [f"ran {key}" for key in self.not_run if key in counts]
        twice = [f"twice {key}" for key, n in counts.items() if n > 1]
        return lost + ran + twice


async def write_until_cancelled(
    name: str, address: str, service: str, database: str, write_log: WriteLog
) -> None:
    """Writes new keys through one proxy until cancelled.

    Reconnects if the connection is lost or the proxy stops.
    """
    number = 0
    while True:
        with contextlib.suppress(*ERRORS_OF_LOST_PROXY):
            async with caller.session(address, name) as session:
                while True:
                    number += 1
                    key = f"{name}-{number}"
                    await _write(session, service, database, key, write_log)
                    await asyncio.sleep(WRITE_DELAY_S)
        await asyncio.sleep(RECONNECT_DELAY_S)


async def _write(
    session: caller.Session,
    service: str,
    database: str,
    key: str,
    write_log: WriteLog,
) -> None:
    clock = asyncio.get_running_loop().time
    started_at = clock()
    write_log.unknown.add(key)
    answer = await session.write(
        service,
        database,
        request.Statement("INSERT INTO written VALUES (?)", (key,)),
        timeout_s=WRITE_TIMEOUT_S,
    )
    match answer.outcome:
        case errors.Outcome.DONE:
            write_log.unknown.discard(key)
            write_log.done[key] = clock()
            write_log.latencies.append(clock() - started_at)
        case errors.Outcome.NOT_RUN:
            write_log.unknown.discard(key)
            write_log.not_run.add(key)
    if isinstance(answer.error, ERRORS_OF_LOST_PROXY):
        raise answer.error


@contextlib.asynccontextmanager
async def steady_writers(
    addresses: Iterable[str], service: str, database: str
) -> AsyncIterator[WriteLog]:
    """Runs one writer for each proxy until the context exits."""
    write_log = WriteLog()
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(
                write_until_cancelled(
                    f"w{n}", address, service, database, write_log
                )
            )
            for n, address in enumerate(addresses)
        ]
        try:
            yield write_log
        finally:
            for task in tasks:
                task.cancel()
