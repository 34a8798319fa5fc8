"""JSON encoding of the items in a recording, one item per line.

A data class is encoded as an object that has its class name under "is" and the
fields that differ from their defaults. Messages are encoded by their border
models, so a message in a record is validated like one in a frame. Bytes are
encoded as {"hex": digits}.
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

TYPE_KEY = "is"
HEX_KEY = "hex"
BODY_KEY = "body"


def _find_item_classes() -> Iterator[type]:
    yield identity.Identity
    yield filters.Tick
    for value in (*vars(items).values(), *vars(process).values()):
        if dataclasses.is_dataclass(value):
            yield value


_CLASS_BY_NAME = {
    item_class.__name__: item_class for item_class in _find_item_classes()
}


def to_line(item: object) -> str:
    """Encodes an item, or the identity of a proxy, as one line of JSON."""
    return json.dumps(_to_json_value(item), separators=(", ", ": "))


def from_line(line: str) -> Any:
    """Returns the item or identity that `to_line` encoded.

    Raises:
      FrameError: if the line is not a valid record.
    """
    try:
        return _from_json_value(json.loads(line))
    except (ValueError, TypeError, KeyError) as exc:
        raise errors.FrameError(type(exc).__name__) from exc


def read(lines: Iterable[str]) -> Iterator[Any]:
    """Yields the identity and the items of a recording.

    Raises:
      FrameError: if a line is neither empty nor a valid record.
    """
    for line in lines:
        if line.strip():
            yield from_line(line)


def _to_json_value(value: Any) -> Any:
    match value:
        case bytes():
            return {HEX_KEY: value.hex()}
        case tuple() | list():
            return [_to_json_value(entry) for entry in value]
        case dict():
            return {key: _to_json_value(entry) for key, entry in value.items()}
        case errors.FescueshuntError():
            return {TYPE_KEY: value.code, "args": list(value.args)}
        case None | bool() | int() | float() | str():
            return value
    if codec.is_message(value):
        tag, body = codec.dump_message(value)
        return {TYPE_KEY: tag, BODY_KEY: _to_json_value(body)}
    return {TYPE_KEY: type(value).__name__, **_fields_to_json(value)}


def _fields_to_json(value: Any) -> dict[str, Any]:
    return {
        field.name: _to_json_value(getattr(value, field.name))
        for field in dataclasses.fields(value)
        if getattr(value, field.name) != field.default
    }


def _from_json_value(value: Any) -> Any:
    match value:
        case list():
            return tuple(_from_json_value(entry) for entry in value)
        case {"hex": str(digits), **rest} if not rest:
            return bytes.fromhex(digits)
        case {"is": str(tag), "body": dict(body)}:
            return codec.load_message(tag, _from_json_value(body))
        case {"is": str(code), "args": [str(detail), retry_after_s]}:
            return errors.class_for_code(code)(detail, retry_after_s)
        case {"is": str(name), **fields}:
            return _CLASS_BY_NAME[name](**_from_json_value(fields))
        case dict():
            return {
                key: _from_json_value(entry) for key, entry in value.items()
            }
        case _:
            return value
