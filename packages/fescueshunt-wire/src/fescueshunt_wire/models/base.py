"""The base of the border models and their way to and from data classes."""

from __future__ import annotations

import enum
from typing import Annotated, Any, ClassVar

import pydantic

from fescueshunt import errors

NAME_CHARS = 128
TEXT_CHARS = 4096
MAX_ITEMS = 65_536
MAX_BYTES = 1 << 20
MAX_INDEX = 1 << 53
MAX_SECONDS = 1e9

Name = Annotated[str, pydantic.Field(max_length=NAME_CHARS)]
Text = Annotated[str, pydantic.Field(max_length=TEXT_CHARS)]
Bytes = Annotated[bytes, pydantic.Field(max_length=MAX_BYTES)]
Count = Annotated[int, pydantic.Field(ge=0, le=MAX_INDEX)]
Index = Annotated[int, pydantic.Field(ge=-MAX_INDEX, le=MAX_INDEX)]
Seconds = Annotated[
    float, pydantic.Field(ge=0, le=MAX_SECONDS, allow_inf_nan=False)
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
        fields = {
            name: _to_data(getattr(self, name))
            for name in type(self).model_fields
        }
        return self.of(**fields)

    def to_plain(self) -> dict[str, Any]:
        """Returns plain values for the codec; defaults are left out."""
        return self.model_dump(exclude_defaults=True)


class ErrorModel(Model):
    """Any error of fescueshunt, by its code."""

    code: Name
    detail: Text = ""
    retry_after_s: Seconds = 0.0

    def to_data(self) -> errors.FescueshuntError:
        """Returns an instance of the class that the code names."""
        return errors.by_code(self.code)(self.detail, self.retry_after_s)


def _to_data(value: Any) -> Any:
    match value:
        case Model():
            return value.to_data()
        case tuple():
            return tuple(_to_data(entry) for entry in value)
        case enum.Enum():
            return value
        case _:
            return value
