"""Plays a case in which acknowledged commits may be lost."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from support2 import clients, commits, hosts, scene

if TYPE_CHECKING:
    from collections.abc import Sequence

    from support2 import record as records

WRITE_INTERVAL_S = 0.02
END_S = 4.0

Disturb = Callable[[scene.Scene], Awaitable[None]]


async def play(
    record: records.Record,
    disturb: Disturb,
    calm_s: float,
    disturbed_s: float,
    services: Sequence[str] = ("db-a",),
    host_count: int = 2,
) -> tuple[int, str]:
    """Plays a case; returns its outcome and a text about it.

    A client on each host writes to the first service all the while.

    Args:
      record: where events are noted.
      disturb: brings the disruption about.
      calm_s: how long clients write before it.
      disturbed_s: how long it takes; the case without it waits as long.
      services: the names of the services.
      host_count: how many hosts run.
    """
    async with scene.running(record, host_count, services) as played:
        if not await hosts.wait_until_ready(played.hosts):
            return scene.NOT_RUN, "the hosts did not become ready"
        writers = [
            clients.Writer(host, scene.PRIMARY_ROUTE, WRITE_INTERVAL_S, number)
            for number, host in enumerate(played.hosts)
        ]
        check = commits.CommitCheck(played.services[services[0]], writers)
        async with asyncio.TaskGroup() as tasks:
            running = [
                tasks.create_task(writer.run(record)) for writer in writers
            ]
            await asyncio.sleep(calm_s)
            if scene.is_disturbed():
                await disturb(played)
            else:
                await asyncio.sleep(disturbed_s)
            await asyncio.sleep(END_S)
            for task in running:
                task.cancel()
    count = check.acknowledged_count
    if not count:
        return scene.NOT_RUN, "no commit was acknowledged"
    text = f"{len(check.lost)} of {count} acknowledged commits lost"
    return (scene.BROKEN if check.lost else scene.PASSED), text
