"""Command line of `fescueshuntd`."""

from __future__ import annotations

import asyncio
import pathlib
import sys

import defopt

from fescueshunt import errors
from fescueshunt_proxy._internal import access, root, settings

SUCCESS = 0
FAILURE = 1
SETTINGS_INVALID = 2


def serve(path: pathlib.Path, *, check_settings: bool = False) -> int:
    """Runs a proxy until SIGTERM, which shuts it down gracefully.

    Args:
      path: the INI file with the proxy's settings.
      check_settings: only check the settings; exit with 2 if they are invalid.
    """
    try:
        cfg = settings.load(path)
        access.load(cfg.tokens_file)
    except errors.InvalidSettingsError as exc:
        print(exc.detail, file=sys.stderr)
        return SETTINGS_INVALID
    if check_settings:
        print(f"{path}: valid")
        return SUCCESS
    return asyncio.run(root.run(cfg))


def main(argv: list[str]) -> int:
    """Runs the command with the arguments `argv`; returns the exit code."""
    return defopt.run(serve, argv=argv)
