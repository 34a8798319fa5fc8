"""Helpers for tests that send operators' statements to real proxies."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from fescueshunt.core import statements
from fescueshunt_cli._internal import admin_client
from fescueshunt_cli._internal.language import parse
from fescueshunt_standins import fleet as fleets

WAIT_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05


async def run_statement(
    process: fleets.Process, text: str, token: str = fleets.CHANGER_TOKEN
) -> statements.OperatorAnswer:
    """Runs one statement on a proxy."""
    address = fleets.admin_address(process)
    async with admin_client.connect(address, token) as client:
        return await client.execute(parse.parse_line(text).statement)


async def wait_until(condition: Callable[[], Awaitable[bool]]) -> float:
    """Waits until `condition` is true; returns the seconds waited."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not await condition():
            await asyncio.sleep(POLL_INTERVAL_S)
    return loop.time() - start


async def revision_in_force(process: fleets.Process) -> int:
    """Returns the revision that is in force on a proxy."""
    answer = await run_statement(process, "SHOW settings", fleets.READER_TOKEN)
    return answer.table.rows[0][0]


async def wait_for_revision(
    processes: list[fleets.Process], expected: int
) -> float:
    """Waits until all proxies use `expected`; returns the seconds waited."""

    async def is_in_force() -> bool:
        revisions = [await revision_in_force(process) for process in processes]
        return revisions == [expected] * len(processes)

    return await wait_until(is_in_force)
