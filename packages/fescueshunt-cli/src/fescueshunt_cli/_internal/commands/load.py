"""`fescueshunt load`: an open-loop load on proxies."""

from __future__ import annotations

import asyncio
import collections
import random

from fescueshunt.core import request
from fescueshunt_cli import caller
from fescueshunt_cli._internal.bench import arrivals
from fescueshunt_cli._internal.commands import base


class LoadCommand(base.Command):
    """Sends reads at a steady rate and counts the outcomes."""

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
        """Sends one statement at random times, `rate` a second on average.

        Args:
          address: a proxy, as IP number:port.
          service: the declared service.
          database: the database.
          sql: the statement.
          rate: requests a second.
          seconds: how long.
          write: send writes.
          seed: of the arrival times.
        """
        due = arrivals.poisson(rate, seconds, random.Random(seed))
        kind = request.Kind.WRITE if write else request.Kind.READ
        statement = request.Statement(sql)
        return base.finish(
            _run(address, service, database, statement, kind, due)
        )


async def _run(
    address: str,
    service: str,
    database: str,
    statement: request.Statement,
    kind: request.Kind,
    schedule: list[float],
) -> int:
    counts: collections.Counter[str] = collections.Counter()
    async with caller.session(address, "load") as session:
        start = asyncio.get_running_loop().time()

        async def send(due: float) -> None:
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(max(start + due - now, 0.0))
            req = request.Request(
                caller.new_request_id(), service, database, kind, (statement,)
            )
            answer = await session.send(req)
            counts[answer.error.code if answer.error else "done"] += 1

        async with asyncio.TaskGroup() as tasks:
            for due in schedule:
                tasks.create_task(send(due))
    for name, count in sorted(counts.items()):
        print(f"{name}: {count}")
    return base.SUCCESS
