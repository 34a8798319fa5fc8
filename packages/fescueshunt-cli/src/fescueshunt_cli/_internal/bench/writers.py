"""Steady writers whose every outcome is kept, to be checked afterwards."""

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
PAUSE_S = 0.005
REDIAL_S = 0.05
WRITE_TIMEOUT_S = 5.0


@dataclasses.dataclass(slots=True)
class Written:
    """What became of the writes, by key; times are of the loop's clock.

    Attributes:
      done: when each acknowledged write was acknowledged.
      latencies: how long each acknowledged write took; seconds.
      not_run: keys that were refused as not run.
      unknown: keys whose outcome is unknown.
    """

    done: dict[str, float] = dataclasses.field(default_factory=dict)
    latencies: list[float] = dataclasses.field(default_factory=list)
    not_run: set[str] = dataclasses.field(default_factory=set)
    unknown: set[str] = dataclasses.field(default_factory=set)

    def gap_after(self, start: float) -> float:
        """Returns the longest time without an acknowledgement from `start`."""
        times = sorted(at for at in self.done.values() if at >= start)
        edges = [start, *times]
        pairs = zip(edges, edges[1:], strict=False)
        return max((later - sooner for sooner, later in pairs), default=0.0)

    def faults(self, rows: Iterable[str]) -> list[str]:
        """Returns where the final table contradicts what callers were told."""
        counts: dict[str, int] = {}
        for key in rows:
            counts[key] = counts.get(key, 0) + 1
        lost = [f"lost {key}" for key in self.done if key not in counts]
        ran = [f"ran {key}" for key in self.not_run if key in counts]
        twice = [f"twice {key}" for key, n in counts.items() if n > 1]
        return lost + ran + twice


async def write_steadily(
    name: str, address: str, service: str, database: str, written: Written
) -> None:
    """Writes one key after another through one proxy until cancelled."""
    number = 0
    while True:
        with contextlib.suppress(errors.ConnectionLostError):
            async with caller.session(address, name) as session:
                while True:
                    number += 1
                    key = f"{name}-{number}"
                    await _write(session, service, database, key, written)
                    await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(REDIAL_S)


async def _write(
    session: caller.Session,
    service: str,
    database: str,
    key: str,
    written: Written,
) -> None:
    clock = asyncio.get_running_loop().time
    started_at = clock()
    written.unknown.add(key)
    answer = await session.write(
        service,
        database,
        request.Statement("INSERT INTO written VALUES (?)", (key,)),
        timeout_s=WRITE_TIMEOUT_S,
    )
    match answer.outcome:
        case errors.Outcome.DONE:
            written.unknown.discard(key)
            written.done[key] = clock()
            written.latencies.append(clock() - started_at)
        case errors.Outcome.NOT_RUN:
            written.unknown.discard(key)
            written.not_run.add(key)
    if isinstance(answer.error, errors.ConnectionLostError):
        raise answer.error


@contextlib.asynccontextmanager
async def writing(
    addresses: Iterable[str], service: str, database: str
) -> AsyncIterator[Written]:
    """Writes through every proxy of `addresses` while the block runs."""
    written = Written()
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(
                write_steadily(f"w{n}", address, service, database, written)
            )
            for n, address in enumerate(addresses)
        ]
        try:
            yield written
        finally:
            for task in tasks:
                task.cancel()
