"""The base class of the border models, and the types of their fields."""

from __future__ import annotations

import functools
import typing
from typing import Annotated, Any, ClassVar

import pydantic

from fescueshunt import errors

MAX_NAME_CHARS = 128
MAX_TEXT_CHARS = 4096
MAX_ITEMS = 65_536
MAX_BYTES = 1 << 20
MAX_INTEGER = 1 << 53
MAX_SECONDS = 1e9
MAX_WALL_SECONDS = 1e11


def truncate_text(value: object) -> object:
    """Truncates a human-readable description so that it fits in a frame."""
    return value[:MAX_TEXT_CHARS] if isinstance(value, str) else value


Name = Annotated[str, pydantic.Field(max_length=MAX_NAME_CHARS)]
Text = Annotated[str, pydantic.Field(max_length=MAX_TEXT_CHARS)]
Detail = Annotated[
    str,
    pydantic.BeforeValidator(truncate_text),
    pydantic.Field(max_length=MAX_TEXT_CHARS),
]
Bytes = Annotated[bytes, pydantic.Field(max_length=MAX_BYTES)]
Count = Annotated[int, pydantic.Field(ge=0, le=MAX_INTEGER)]
Integer = Annotated[int, pydantic.Field(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Seconds = Annotated[
    float, pydantic.Field(ge=0, le=MAX_SECONDS, allow_inf_nan=False)
]
# Seconds since the epoch.
WallSeconds = Annotated[
    float, pydantic.Field(ge=0, le=MAX_WALL_SECONDS, allow_inf_nan=False)
]
Share = Annotated[float, pydantic.Field(ge=0, le=1, allow_inf_nan=False)]


class Model(pydantic.BaseModel):
    """Base class of the border models.

    Attributes:
      data_class: the data class that the model validates, which has the same
        fields.
    """

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, from_attributes=True
    )
    data_class: ClassVar[type]

    @classmethod
    def from_data(cls, data: object) -> Model:
        """Returns a validated model with the values of a data class instance.

        Raises:
          pydantic.ValidationError: if a value is not permitted.
        """
        return cls.model_validate(data)

    def to_data(self) -> Any:
        """Returns the values as an instance of the data class."""
        fields = dict(self.__dict__)
        for name in _nested_fields(type(self)):
            fields[name] = _to_data(fields[name])
        return self.data_class(**fields)

    def dump_fields(self) -> dict[str, Any]:
        """Returns the values of the fields that differ from their defaults."""
        return self.model_dump(exclude_defaults=True)


class ErrorModel(Model):
    """An error of any class, identified by its code.

    Attributes:
      code: the code of the error's class.
      detail: a human-readable description.
      retry_after_s: the time after which a retry may succeed, in seconds; 0 if
        unknown.
    """

    code: Name
    detail: Detail = ""
    retry_after_s: Seconds = 0.0

    def to_data(self) -> errors.FescueshuntError:
        """Returns an instance of the error class that has `code`."""
        return errors.class_for_code(self.code)(self.detail, self.retry_after_s)


@functools.cache
def _nested_fields(model: type[Model]) -> tuple[str, ...]:
    """Returns the names of the fields whose types contain other models."""
    return tuple(
        name
        for name, field in model.model_fields.items()
        if _contains_model(field.annotation)
    )


def _contains_model(annotation: Any) -> bool:
    if isinstance(annotation, type) and issubclass(annotation, Model):
        return True
    return any(_contains_model(part) for part in typing.get_args(annotation))


def _to_data(value: Any) -> Any:
    if isinstance(value, tuple):
        return tuple(_to_data(entry) for entry in value)
    return value.to_data() if isinstance(value, Model) else value
