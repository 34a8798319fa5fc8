"""Sections of INI files as validated models, with every error at once."""

from __future__ import annotations

from typing import Any, TypeVar

import pydantic

from fescueshunt import errors

M = TypeVar("M", bound=pydantic.BaseModel)


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


def _problem(
    file: str, section: str, values: dict[str, Any], found: Any
) -> errors.SettingProblem:
    key = ".".join(str(part) for part in found["loc"]) or "(section)"
    first = str(found["loc"][0]) if found["loc"] else ""
    value = str(values.get(first, ""))
    return errors.SettingProblem(file, section, key, value, found["msg"])
