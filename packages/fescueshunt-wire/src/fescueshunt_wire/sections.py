"""INI files as sections of texts."""

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
      InvalidSettingsError: if the file can't be read or isn't INI.
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
    """Returns the comma-separated parts of a value."""
    return [part.strip() for part in value.split(",") if part.strip()]
