"""The base of the border models and their way to and from data classes."""

from __future__ import annotations

import functools
import typing
from typing import Annotated, Any, ClassVar

import pydantic

from fescueshunt import errors

NAME_CHARS = 128
TEXT_CHARS = 4096
MAX_ITEMS = 65_536
MAX_BYTES = 1 << 20
MAX_INDEX = 1 << 53
MAX_SECONDS = 1e9
MAX_WALL_SECONDS = 1e11


def cut(value: object) -> object:
    """Returns the start of a text for people, which a frame can hold."""
    return value[:TEXT_CHARS] if isinstance(value, str) else value


Name = Annotated[str, pydantic.Field(max_length=NAME_CHARS)]
Text = Annotated[str, pydantic.Field(max_length=TEXT_CHARS)]
Detail = Annotated[
    str,
    pydantic.BeforeValidator(cut),
    pydantic.Field(max_length=TEXT_CHARS),
]
Bytes = Annotated[bytes, pydantic.Field(max_length=MAX_BYTES)]
Count = Annotated[int, pydantic.Field(ge=0, le=MAX_INDEX)]
Index = Annotated[int, pydantic.Field(ge=-MAX_INDEX, le=MAX_INDEX)]
Seconds = Annotated[
    float, pydantic.Field(ge=0, le=MAX_SECONDS, allow_inf_nan=False)
]
WallSeconds = Annotated[
    float, pydantic.Field(ge=0, le=MAX_WALL_SECONDS, allow_inf_nan=False)
]
Share = Annotated[float, pydantic.Field(ge=0, le=1, allow_inf_nan=False)]


class Model(pydantic.BaseModel):
    """A validated model of the data class `of`, field by field."""

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, from_attributes=True
    )
    of: ClassVar[type]

    @classmethod
    def from_data(cls, data: object) -> Model:
        """Returns the model of a data class instance."""
        return cls.model_validate(data)

    def to_data(self) -> Any:
        """Returns the data class instance that this model describes."""
        fields = dict(self.__dict__)
        for name in _nested_fields(type(self)):
            fields[name] = _to_data(fields[name])
        return self.of(**fields)

    def to_plain(self) -> dict[str, Any]:
        """Returns plain values for the codec; defaults are left out."""
        return self.model_dump(exclude_defaults=True)


class ErrorModel(Model):
    """Any error of fescueshunt, by its code."""

    code: Name
    detail: Detail = ""
    retry_after_s: Seconds = 0.0

    def to_data(self) -> errors.FescueshuntError:
        """Returns an instance of the class that the code names."""
        return errors.class_for_code(self.code)(self.detail, self.retry_after_s)


@functools.cache
def _nested_fields(model: type[Model]) -> tuple[str, ...]:
    """Returns the names of the fields that hold models themselves."""
    return tuple(
        name
        for name, field in model.model_fields.items()
        if _holds_model(field.annotation)
    )


def _holds_model(annotation: Any) -> bool:
    if isinstance(annotation, type) and issubclass(annotation, Model):
        return True
    return any(_holds_model(part) for part in typing.get_args(annotation))


def _to_data(value: Any) -> Any:
    if isinstance(value, tuple):
        return tuple(_to_data(entry) for entry in value)
    return value.to_data() if isinstance(value, Model) else value
