"""Common start-up and shutdown of the stand-in processes."""

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
    path: pathlib.Path, section: str, model: type, open_server: Callable
) -> None:
    """Runs a stand-in until SIGTERM or SIGINT.

    Prints the bound address as the first line of standard output. If the
    settings are invalid, prints the problems on standard error and exits with
    `SETTINGS_EXIT_CODE`.

    Args:
      path: the INI file with the settings.
      section: the section of the file to read.
      model: the pydantic model that validates the section.
      open_server: takes the validated settings and returns an asynchronous
        context manager that serves while it is open and yields the bound
        address.
    """
    try:
        values = sections.read_sections(path).get(section, {})
        cfg, problems = ini.validate(model, str(path), section, values)
        if problems:
            raise errors.InvalidSettingsError(problems)
    except errors.InvalidSettingsError as exc:
        print(exc.detail, file=sys.stderr)
        sys.exit(SETTINGS_EXIT_CODE)
    asyncio.run(_serve(open_server, cfg))


def run_command_line(main: Callable) -> None:
    """Calls `main` with the arguments of the command line."""
    defopt.run(main)


async def _serve(open_server: Callable, cfg: Any) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    async with open_server(cfg) as address:
        print(address, flush=True)
        await stop_requested.wait()
