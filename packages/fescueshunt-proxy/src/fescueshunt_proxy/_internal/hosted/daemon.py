"""The command line of a host of the platform."""

from __future__ import annotations

import asyncio
import pathlib
import sys

from fescueshunt import errors
from fescueshunt_proxy._internal.hosted import root
from fescueshunt_proxy.platform import settings

SUCCESS = 0
SETTINGS_INVALID = 2
CHECK_SETTINGS = "--check-settings"
USAGE = "usage: fescueshuntd hosted [--check-settings] [FILE]"


def main(argv: list[str]) -> int:
    """Runs a host until SIGTERM; returns the exit code.

    The file is by default the one that the platform names.
    """
    names = [word for word in argv if word != CHECK_SETTINGS]
    path = pathlib.Path(names[0]) if names else settings.path()
    if path is None or len(names) > 1 or str(path).startswith("-"):
        print(USAGE, file=sys.stderr)
        return SETTINGS_INVALID
    try:
        cfg = settings.load(path)
    except errors.InvalidSettingsError as exc:
        print(exc.detail, file=sys.stderr)
        return SETTINGS_INVALID
    if CHECK_SETTINGS in argv:
        print(f"{path}: valid")
        return SUCCESS
    return asyncio.run(root.run(cfg))
