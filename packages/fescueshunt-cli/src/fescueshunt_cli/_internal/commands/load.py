"""`fescueshunt load`: sends an open-loop load to a proxy."""

from __future__ import annotations

import asyncio
import collections
import random

from fescueshunt.core import request
from fescueshunt_cli import caller
from fescueshunt_cli._internal.bench import arrivals
from fescueshunt_cli._internal.commands import base


class LoadCommand(base.Command):
    """The command `load`, which sends requests and counts the outcomes."""

    name = "load"

    def run(
        self,
        address: str,
        service: str,
        database: str,
        sql: str,
        *,
        rate: float = 50.0,
        seconds: float = 5.0,
        write: bool = False,
        seed: int = 1,
    ) -> int:
        """Sends a statement repeatedly and prints the number of each outcome.

        The statement is sent at random times, on average `rate` times per
        second.

        Args:
          address: the address of any proxy, as IP:port.
          service: the name of the declared service.
          database: the name of the database.
          sql: the SQL statement.
          rate: the mean rate; requests per second.
          seconds: the duration of the load.
          write: send the statement as a write, not as a read.
          seed: the seed for the arrival times.
        """
        arrival_times = arrivals.poisson(rate, seconds, random.Random(seed))
        kind = request.Kind.WRITE if write else request.Kind.READ
        statement = request.Statement(sql)
        return base.run_async(
            _run(address, service, database, statement, kind, arrival_times)
        )


async def _run(
    address: str,
    service: str,
    database: str,
    statement: request.Statement,
    kind: request.Kind,
    arrival_times: list[float],
) -> int:
    counts: collections.Counter[str] = collections.Counter()
    async with caller.session(address, "load") as session:
        started_at = asyncio.get_running_loop().time()

        async def send(due_s: float) -> None:
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(max(started_at + due_s - now, 0.0))
            req = request.Request(
                caller.new_request_id(), service, database, kind, (statement,)
            )
            answer = await session.send(req)
            counts[answer.error.code if answer.error else "done"] += 1

        async with asyncio.TaskGroup() as tasks:
            for due_s in arrival_times:
                tasks.create_task(send(due_s))
    for name, count in sorted(counts.items()):
        print(f"{name}: {count}")
    return base.SUCCESS
