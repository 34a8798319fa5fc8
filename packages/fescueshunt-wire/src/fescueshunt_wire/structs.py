"""Values read into validated structs, with every problem at once.

`msgspec` itself stops at the first problem, which is too little for settings.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from fescueshunt import errors

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

StructT = TypeVar("StructT", bound=msgspec.Struct)
MISSING = "expected a value"


def convert(
    model: type[StructT],
    raw: Mapping[str, Any],
    file: str,
    section: str = "",
    *,
    strict: bool = True,
) -> StructT:
    """Returns the struct that `raw` holds; unknown fields are ignored.

    Args:
      model: what is expected.
      raw: the values by their names.
      file: where they come from, for messages.
      section: the part of the file, for messages.
      strict: whether numbers must be numbers already, not their text.

    Raises:
      InvalidSettingsError: with every problem.
    """
    problems = list(_problems(model, raw, file, section, "", strict))
    if problems:
        raise errors.InvalidSettingsError(problems)
    return msgspec.convert(raw, model, strict=strict)


def _problems(
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
                yield errors.SettingProblem(file, section, key, "", MISSING)
        elif _is_struct(field.type) and isinstance(value, dict):
            inner = f"{key}."
            yield from _problems(
                field.type, value, file, section, inner, strict
            )
        else:
            expected = _expected(field.type, value, strict)
            if expected:
                yield errors.SettingProblem(
                    file, section, key, str(value), expected
                )


def _is_struct(kind: object) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _expected(kind: object, value: object, strict: bool) -> str:
    """Returns what was expected in place of `value`, "" if it is valid."""
    try:
        msgspec.convert(value, kind, strict=strict)
    except msgspec.ValidationError as exc:
        return str(exc)
    return ""
