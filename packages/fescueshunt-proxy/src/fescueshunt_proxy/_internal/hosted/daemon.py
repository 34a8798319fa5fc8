"""Command line of the daemon that runs one host of the platform."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys

from fescueshunt import errors
from fescueshunt_proxy._internal.hosted import own_settings, root
from fescueshunt_proxy.platform import settings

SUCCESS = 0
SETTINGS_INVALID = 2


def main(argv: list[str]) -> int:
    """Runs a host until SIGTERM and returns the exit code."""
    args = _create_parser().parse_args(argv)
    path = args.file or settings.find_file()
    if path is None:
        print(
            "no settings file is given as argument or by the platform",
            file=sys.stderr,
        )
        return SETTINGS_INVALID
    try:
        cfg = settings.load(path)
        operator_cfg = own_settings.load(args.settings)
    except errors.InvalidSettingsError as exc:
        print(exc.detail, file=sys.stderr)
        return SETTINGS_INVALID
    if args.check_settings:
        print(f"{path}: valid")
        return SUCCESS
    return asyncio.run(root.run(cfg, operator_cfg))


def _create_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="fescueshuntd hosted")
    parser.add_argument(
        "file",
        nargs="?",
        type=pathlib.Path,
        help="settings file of the platform (default: the file that the "
        "platform names in the environment)",
    )
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        help="INI file with the operator's settings",
    )
    parser.add_argument(
        "--check-settings",
        action="store_true",
        help="validate the settings and exit",
    )
    return parser
