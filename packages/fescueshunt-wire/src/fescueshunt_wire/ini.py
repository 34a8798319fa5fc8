"""INI files read into validated models, with every error at once."""

from __future__ import annotations

import configparser
from typing import TYPE_CHECKING, Any, TypeVar

import pydantic

from fescueshunt import errors

if TYPE_CHECKING:
    import pathlib

Section = dict[str, str]
M = TypeVar("M", bound=pydantic.BaseModel)


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


def validate(
    model: type[M], file: str, section: str, values: dict[str, Any]
) -> tuple[M | None, list[errors.SettingProblem]]:
    """Returns the model of one section, or the problems it has."""
    try:
        return model.model_validate(values), []
    except pydantic.ValidationError as exc:
        return None, [
            _problem(file, section, values, found) for found in exc.errors()
        ]


def split(value: str) -> list[str]:
    """Returns the comma-separated parts of a value."""
    return [part.strip() for part in value.split(",") if part.strip()]


def _problem(
    file: str, section: str, values: dict[str, Any], found: Any
) -> errors.SettingProblem:
    key = ".".join(str(part) for part in found["loc"]) or "(section)"
    first = str(found["loc"][0]) if found["loc"] else ""
    value = str(values.get(first, ""))
    return errors.SettingProblem(file, section, key, value, found["msg"])
