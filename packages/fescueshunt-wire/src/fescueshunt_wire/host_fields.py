"""Fields that the messages between hosts share, and the base of their models.

Texts of clients and upstreams are byte strings, as they need not be UTF-8.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from fescueshunt.core import position

MAX_NAME_CHARS = 1000

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=86_400)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1.000001)]
Tokens = Annotated[float, msgspec.Meta(ge=0)]
PositionFields = tuple[Number, Number] | None


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of the models of messages; each has a tag of its own."""


def position_fields(end: position.Position | None) -> list[int] | None:
    """Returns the fields of a log position."""
    return None if end is None else [end.term.number, end.index]


def to_position(fields: PositionFields) -> position.Position | None:
    """Returns the log position that the fields describe."""
    if fields is None:
        return None
    term, index = fields
    return position.Position(position.Term(term), index)


def to_bytes(text: str) -> bytes:
    """Returns the bytes of a text of a client or an upstream."""
    return text.encode(errors="surrogateescape")


def to_text(data: bytes) -> str:
    """Returns the text of such bytes."""
    return data.decode(errors="surrogateescape")
