"""Validation of the sections of INI files by pydantic models."""

from __future__ import annotations

from typing import Any, TypeVar

import pydantic

from fescueshunt import errors

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)


def validate(
    model: type[ModelT], file: str, section: str, values: dict[str, Any]
) -> tuple[ModelT | None, list[errors.SettingProblem]]:
    """Validates the values of one section of an INI file.

    Args:
      model: the class of the validated model.
      file: the path of the file, for the reported problems.
      section: the name of the section, for the reported problems.
      values: the values in the section, by key.

    Returns:
      The validated model and no problems, or None and every problem.
    """
    try:
        return model.model_validate(values), []
    except pydantic.ValidationError as exc:
        return None, [
            _to_problem(file, section, values, error) for error in exc.errors()
        ]


def _to_problem(
    file: str, section: str, values: dict[str, Any], error: Any
) -> errors.SettingProblem:
    key = ".".join(str(part) for part in error["loc"]) or "(section)"
    first_key = str(error["loc"][0]) if error["loc"] else ""
    value = str(values.get(first_key, ""))
    return errors.SettingProblem(file, section, key, value, error["msg"])
