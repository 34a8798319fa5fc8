"""INI files read into validated models, with every error at once."""

from __future__ import annotations

import configparser
import dataclasses
from typing import TYPE_CHECKING, Any, TypeVar

import pydantic

from fescueshunt import errors

if TYPE_CHECKING:
    import pathlib

Section = dict[str, str]
M = TypeVar("M", bound=pydantic.BaseModel)


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One invalid setting."""

    file: str
    section: str
    key: str
    value: str
    expected: str

    def __str__(self) -> str:
        return (
            f"{self.file}: [{self.section}] {self.key} = {self.value!r}: "
            f"{self.expected}"
        )


class InvalidSettingsError(errors.SettingsError):
    """A settings file has one or more invalid settings.

    Attributes:
      problems: all of them, in the order of the file.
    """

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


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
        problem = Problem(str(path), "", "", "", str(exc))
        raise InvalidSettingsError([problem]) from exc
    return {name: dict(parser[name]) for name in parser.sections()}


def validate(
    model: type[M], file: str, section: str, values: dict[str, Any]
) -> tuple[M | None, list[Problem]]:
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
) -> Problem:
    key = ".".join(str(part) for part in found["loc"]) or "(section)"
    first = str(found["loc"][0]) if found["loc"] else ""
    value = str(values.get(first, ""))
    return Problem(file, section, key, value, found["msg"])
