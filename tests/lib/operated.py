"""Operators of real processes, for tests."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from fescueshunt.core import statements
from fescueshunt_cli._internal import operators
from fescueshunt_cli._internal.language import parse
from fescueshunt_standins import fleet as fleets

DEADLINE_S = 60.0
PAUSE_S = 0.05


async def ask(
    process: fleets.Process, text: str, token: str = fleets.CHANGER_TOKEN
) -> statements.OperatorAnswer:
    """Runs one statement on a proxy."""
    address = fleets.admin_address(process)
    async with operators.connect(address, token) as operator:
        return await operator.ask(parse.parse_line(text).statement)


async def until(check: Callable[[], Awaitable[bool]]) -> float:
    """Waits until `check` holds, DEADLINE_S at most; returns the seconds."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    async with asyncio.timeout(DEADLINE_S):
        while not await check():
            await asyncio.sleep(PAUSE_S)
    return loop.time() - start


async def revision(process: fleets.Process) -> int:
    """Returns the revision that is in force on a proxy."""
    answer = await ask(process, "SHOW settings", fleets.READER_TOKEN)
    return answer.table.rows[0][0]


async def until_revision(
    processes: list[fleets.Process], expected: int
) -> float:
    """Waits until `expected` is in force on all; returns the seconds."""

    async def is_in_force() -> bool:
        found = [await revision(process) for process in processes]
        return found == [expected] * len(processes)

    return await until(is_in_force)
