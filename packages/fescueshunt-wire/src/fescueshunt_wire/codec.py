"""Frames: CBOR in, data classes out, and back.

A frame is the array [version, [[seq, tag, body], ...]]. `seq` joins an answer
to its call, `tag` names the model, and `body` is a map of its fields.
"""

from __future__ import annotations

import dataclasses
import io
from typing import TYPE_CHECKING, Any

import cbor2
import pydantic

from fescueshunt import errors
from fescueshunt.core import document, request
from fescueshunt.request import ledger
from fescueshunt_wire.models import (
    base,
    calls,
    documents,
    heartbeats,
    operators,
    proxies,
    settings,
    stores,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

VERSION = 1
MAX_FRAME_BYTES = 1 << 20
MAX_MESSAGES = 4096
MAX_DIGITS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """One message of a frame. `seq` is positive for a call and its answer."""

    seq: int
    message: Any


def _models(module: Any) -> Iterable[type[base.Model]]:
    for value in vars(module).values():
        is_model = isinstance(value, type) and issubclass(value, base.Model)
        if is_model and value.__module__ == module.__name__:
            yield value


_MODULES = (calls, heartbeats, stores, proxies, documents, settings, operators)
_BY_TAG = {
    model.__name__.removesuffix("Model"): model
    for module in _MODULES
    for model in _models(module)
}
_BY_DATA = {model.data_class: (tag, model) for tag, model in _BY_TAG.items()}


def encode(envelopes: Iterable[Envelope]) -> bytes:
    """Returns one frame with all `envelopes`.

    Raises:
      FrameTooLargeError: if the frame would exceed MAX_FRAME_BYTES.
      FrameError: if a message is out of the bounds of its model.
    """
    try:
        body = [_pack(envelope) for envelope in envelopes]
    except pydantic.ValidationError as exc:
        raise errors.FrameError(f"{exc.title}.{_describe(exc)}") from exc
    data = cbor2.dumps([VERSION, body])
    if len(data) > MAX_FRAME_BYTES:
        raise errors.FrameTooLargeError(f"{len(data)} bytes")
    return data


def decode(data: bytes) -> list[Envelope]:
    """Returns the messages of a frame as validated data.

    Raises:
      FrameError: if the frame is malformed, oversize, or of another version.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise errors.FrameTooLargeError(f"{len(data)} bytes")
    frame = _load(data)
    match frame:
        case [version, _] if _is_number(version) and version != VERSION:
            raise errors.FrameVersionError(str(version)[:MAX_DIGITS])
        case [version, list(body)] if (
            _is_number(version) and len(body) <= MAX_MESSAGES
        ):
            return [_unpack(entry) for entry in body]
        case _:
            raise errors.FrameError("not a frame")


def is_message(value: object) -> bool:
    """Tells whether `value` has a border model."""
    return type(value) in _BY_DATA


def to_plain(message: Any) -> tuple[str, dict[str, Any]]:
    """Returns the tag of a message and the plain map of its fields."""
    tag, model = _BY_DATA[type(message)]
    return tag, model.from_data(message).to_plain()


def from_plain(tag: str, body: dict[str, Any]) -> Any:
    """Returns the message that `to_plain` described.

    Raises:
      FrameError: if the tag is unknown or the body is not valid.
    """
    if tag not in _BY_TAG:
        raise errors.FrameError(f"unknown tag {tag}")
    return _validate(_BY_TAG[tag], body)


def encode_document(value: document.Document) -> bytes:
    """Returns the settings document as bytes for the store.

    Raises:
      SettingsError: if a value is out of its bounds, or the whole too large.
    """
    try:
        return encode((Envelope(0, value),))
    except errors.FrameTooLargeError as exc:
        raise errors.SettingsError(f"too large: {exc.detail}") from exc
    except errors.FrameError as exc:
        raise errors.SettingsError(exc.detail) from exc


def decode_document(data: bytes) -> document.Document:
    """Returns the settings document that `data` holds; empty for no bytes."""
    if not data:
        return document.Document()
    match decode(data):
        case [Envelope(message=document.Document() as found)]:
            return found
        case _:
            raise errors.FrameError("not a settings document")


class ResultCodec(ledger.ResultCodec):
    """Result sets as CBOR."""

    def encode(self, results: tuple[request.ResultSet, ...]) -> bytes:
        """Returns `results` as one frame."""
        return encode(Envelope(0, result) for result in results)

    def decode(self, data: bytes) -> tuple[request.ResultSet, ...]:
        """Returns the result sets of a frame."""
        return tuple(envelope.message for envelope in decode(data))


def _load(data: bytes) -> Any:
    try:
        with io.BytesIO(data) as stream:
            value = cbor2.CBORDecoder(stream).decode()
            if stream.tell() != len(data):
                raise errors.FrameError("bytes after the end of the frame")
    except errors.FrameError:
        raise
    except (
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        RecursionError,
        OverflowError,
        MemoryError,
        LookupError,
    ) as exc:
        raise errors.FrameError(type(exc).__name__) from exc
    return value


def _is_number(value: Any) -> bool:
    """Tells whether `value` is an integer; a boolean is none."""
    return type(value) is int


def _pack(envelope: Envelope) -> list[Any]:
    tag, body = to_plain(envelope.message)
    return [envelope.seq, tag, body]


def _unpack(entry: Any) -> Envelope:
    match entry:
        case [seq, str(tag), dict(body)] if (
            _is_number(seq) and 0 <= seq <= base.MAX_INDEX and tag in _BY_TAG
        ):
            return Envelope(seq, _validate(_BY_TAG[tag], body))
        case _:
            raise errors.FrameError("not an envelope")


def _validate(model: type[base.Model], body: dict[str, Any]) -> Any:
    try:
        return model.model_validate(body).to_data()
    except pydantic.ValidationError as exc:
        name = model.data_class.__name__
        raise errors.FrameError(f"{name}.{_describe(exc)}") from exc


def _describe(exc: pydantic.ValidationError) -> str:
    """Returns the place and the kind of the first thing that is wrong."""
    found = exc.errors(include_input=False)[0]
    place = ".".join(str(part) for part in found["loc"])
    return f"{place}: {found['msg']}"
