"""Reads INI files into sections, which map keys to strings."""

from __future__ import annotations

import configparser
from typing import TYPE_CHECKING

from fescueshunt import errors

if TYPE_CHECKING:
    import pathlib

Section = dict[str, str]


def read_sections(path: pathlib.Path) -> dict[str, Section]:
    """Returns the sections of the INI file at `path`.

    Raises:
      InvalidSettingsError: if the file cannot be read or is not an INI file.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as stream:
            parser.read_file(stream, str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        problem = errors.SettingProblem(str(path), "", "", "", str(exc))
        raise errors.InvalidSettingsError([problem]) from exc
    return {name: dict(parser[name]) for name in parser.sections()}


def split_list(value: str) -> list[str]:
    """Returns the parts of a comma-separated list, without empty parts."""
    return [part.strip() for part in value.split(",") if part.strip()]
