"""What every stand-in process does: read settings, serve, stop on SIGTERM."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
from collections.abc import Callable
from typing import Any

import defopt

from fescueshunt import errors
from fescueshunt_wire import ini, sections

SETTINGS_EXIT_CODE = 2


def run(
    path: pathlib.Path, section: str, model: type, running: Callable
) -> None:
    """Runs a stand-in until SIGTERM or SIGINT.

    Prints the bound address as the first line of standard output.
    """
    try:
        values = sections.read_sections(path).get(section, {})
        cfg, problems = ini.validate(model, str(path), section, values)
        if problems:
            raise errors.InvalidSettingsError(problems)
    except errors.InvalidSettingsError as exc:
        print(exc.detail, file=sys.stderr)
        sys.exit(SETTINGS_EXIT_CODE)
    asyncio.run(_serve(running, cfg))


def start(main: Callable) -> None:
    """Runs `main` with arguments from the command line."""
    defopt.run(main)


async def _serve(running: Callable, cfg: Any) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    async with running(cfg) as address:
        print(address, flush=True)
        await stopped.wait()
