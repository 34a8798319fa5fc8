"""Records: items as lines of JSON, for recorded traces and their replay.

A data class becomes an object with its class name under "is" and every field
that differs from its default. Messages pass through their border models, so
what a record holds is checked like a frame. Bytes are {"hex": digits}.
"""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING, Any

from fescueshunt import errors
from fescueshunt.core import filters, identity, items, process
from fescueshunt_wire import codec

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

KIND = "is"
HEX = "hex"
MESSAGE = "body"


def _item_types() -> Iterator[type]:
    yield identity.Identity
    yield filters.Tick
    for value in (*vars(items).values(), *vars(process).values()):
        if dataclasses.is_dataclass(value):
            yield value


_BY_NAME = {found.__name__: found for found in _item_types()}


def to_line(item: object) -> str:
    """Returns an item, or the identity of a proxy, as one line of JSON."""
    return json.dumps(_pack(item), separators=(", ", ": "))


def from_line(line: str) -> Any:
    """Returns what `to_line` wrote.

    Raises:
      FrameError: if the line is not a record.
    """
    try:
        return _unpack(json.loads(line))
    except (ValueError, TypeError, KeyError) as exc:
        raise errors.FrameError(type(exc).__name__) from exc


def read(lines: Iterable[str]) -> Iterator[Any]:
    """Yields the items of a recorded trace."""
    for line in lines:
        if line.strip():
            yield from_line(line)


def _pack(value: Any) -> Any:
    match value:
        case bytes():
            return {HEX: value.hex()}
        case tuple() | list():
            return [_pack(entry) for entry in value]
        case dict():
            return {key: _pack(entry) for key, entry in value.items()}
        case errors.FescueshuntError():
            return {KIND: value.code, "args": list(value.args)}
        case None | bool() | int() | float() | str():
            return value
    if codec.is_message(value):
        tag, body = codec.to_plain(value)
        return {KIND: tag, MESSAGE: _pack(body)}
    return {KIND: type(value).__name__, **_fields(value)}


def _fields(value: Any) -> dict[str, Any]:
    return {
        field.name: _pack(getattr(value, field.name))
        for field in dataclasses.fields(value)
        if getattr(value, field.name) != field.default
    }


def _unpack(value: Any) -> Any:
    match value:
        case list():
            return tuple(_unpack(entry) for entry in value)
        case {"hex": str(digits), **rest} if not rest:
            return bytes.fromhex(digits)
        case {"is": str(tag), "body": dict(body)}:
            return codec.from_plain(tag, _unpack(body))
        case {"is": str(code), "args": [str(detail), retry_after_s]}:
            return errors.class_for_code(code)(detail, retry_after_s)
        case {"is": str(name), **fields}:
            return _BY_NAME[name](**_unpack(fields))
        case dict():
            return {key: _unpack(entry) for key, entry in value.items()}
        case _:
            return value
