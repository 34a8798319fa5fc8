"""What the scripts share: their record, their exit codes and their waits."""

from __future__ import annotations

import asyncio
import os
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable, Coroutine

    from support import hosts

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
START_TIMEOUT_S = 30.0
RUN_TIMEOUT_S = 90.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CouldNotRunError(Exception):
    """The scenario did not come about."""


class Record:
    """The file in which a run is recorded."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def line(self, text: str) -> None:
        """Writes a line with the time since the start, in seconds."""
        elapsed_s = time.monotonic() - self._started_at
        self._file.write(f"{elapsed_s:7.3f} {text}\n")
        self._file.flush()


async def wait_until(
    what: str, condition: Callable[[], object], timeout_s: float
) -> None:
    """Waits until `condition()` is true.

    Raises:
      CouldNotRunError: if that takes longer than `timeout_s` seconds.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise CouldNotRunError(f"no sign of: {what}")
        await asyncio.sleep(0.01)


async def wait_ready(fleet: list[hosts.Host]) -> None:
    """Waits until all hosts are ready."""
    deadline = time.monotonic() + START_TIMEOUT_S
    for host in fleet:
        while not await asyncio.to_thread(host.is_ready):
            if time.monotonic() > deadline:
                raise CouldNotRunError(f"{host.name} is not ready")
            await asyncio.sleep(0.1)


def run(
    folder: pathlib.Path, play: Callable[[Record], Coroutine[None, None, int]]
) -> int:
    """Plays a scenario, recorded in `folder`, and returns the exit code."""
    record = Record(folder / "record.txt")

    async def play_in_time() -> int:
        async with asyncio.timeout(RUN_TIMEOUT_S):
            return await play(record)

    try:
        return asyncio.run(play_in_time())
    except (CouldNotRunError, TimeoutError) as exc:
        record.line(f"the case couldn't run: {exc or 'it took too long'}")
        return COULD_NOT_RUN
