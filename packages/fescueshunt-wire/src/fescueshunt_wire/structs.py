"""Conversion of settings into `msgspec` structs, reporting every problem.

`msgspec` itself reports only the first problem; all problems of a settings file
are reported at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from fescueshunt import errors

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

StructT = TypeVar("StructT", bound=msgspec.Struct)
MISSING_VALUE = "expected a value"


def convert(
    model: type[StructT],
    raw: Mapping[str, Any],
    file: str,
    section: str = "",
    *,
    strict: bool = True,
) -> StructT:
    """Converts and validates the values in `raw`; ignores unknown fields.

    Args:
      model: the class of the struct to return.
      raw: the values, by the names of the fields.
      file: the path of the file that contains the values, for the reported
        problems.
      section: the section of the file, for the reported problems.
      strict: whether numeric fields require numbers; if False, strings that
        contain numbers are converted.

    Raises:
      InvalidSettingsError: if a value is missing or invalid; the error lists
        every problem.
    """
    problems = list(_find_problems(model, raw, file, section, "", strict))
    if problems:
        raise errors.InvalidSettingsError(problems)
    return msgspec.convert(raw, model, strict=strict)


def _find_problems(
    model: type[msgspec.Struct],
    raw: Mapping[str, Any],
    file: str,
    section: str,
    prefix: str,
    strict: bool,
) -> Iterator[errors.SettingProblem]:
    for field in msgspec.structs.fields(model):
        key = prefix + field.name
        value = raw.get(field.name, msgspec.UNSET)
        if value is msgspec.UNSET:
            if field.required:
                yield errors.SettingProblem(
                    file, section, key, "", MISSING_VALUE
                )
        elif _is_struct(field.type) and isinstance(value, dict):
            field_prefix = f"{key}."
            yield from _find_problems(
                field.type, value, file, section, field_prefix, strict
            )
        else:
            expected = _describe_mismatch(field.type, value, strict)
            if expected:
                yield errors.SettingProblem(
                    file, section, key, str(value), expected
                )


def _is_struct(field_type: object) -> bool:
    return isinstance(field_type, type) and issubclass(
        field_type, msgspec.Struct
    )


def _describe_mismatch(field_type: object, value: object, strict: bool) -> str:
    """Returns why `value` is not of the type, or "" if it is valid."""
    try:
        msgspec.convert(value, field_type, strict=strict)
    except msgspec.ValidationError as exc:
        return str(exc)
    return ""
