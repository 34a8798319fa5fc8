"""Encoding of messages as CBOR frames, and their decoding and validation.

A frame is the array [version, [[seq, tag, body], ...]]. `seq` is a sequence
number, which is the same for a call and its answer, `tag` identifies the model
of the message, and `body` is a map of its fields.
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
    membership,
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
MAX_VERSION_CHARS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A message in a frame.

    Attributes:
      seq: the sequence number, which is positive if the message is a call or
        the answer to one.
      message: an instance of a data class that has a border model.
    """

    seq: int
    message: Any


def _find_models(module: Any) -> Iterable[type[base.Model]]:
    for value in vars(module).values():
        is_model = isinstance(value, type) and issubclass(value, base.Model)
        if is_model and value.__module__ == module.__name__:
            yield value


_MODEL_MODULES = (
    calls,
    membership,
    stores,
    proxies,
    documents,
    settings,
    operators,
)
_MODEL_BY_TAG = {
    model.__name__.removesuffix("Model"): model
    for module in _MODEL_MODULES
    for model in _find_models(module)
}
_TAG_AND_MODEL_BY_CLASS = {
    model.data_class: (tag, model) for tag, model in _MODEL_BY_TAG.items()
}


def encode(envelopes: Iterable[Envelope]) -> bytes:
    """Encodes all `envelopes` as one frame.

    Raises:
      FrameTooLargeError: if the frame would exceed MAX_FRAME_BYTES.
      FrameError: if a message has a value that its model does not permit.
    """
    try:
        body = [_dump_envelope(envelope) for envelope in envelopes]
    except pydantic.ValidationError as exc:
        raise errors.FrameError(f"{exc.title}.{_describe_error(exc)}") from exc
    data = cbor2.dumps([VERSION, body])
    if len(data) > MAX_FRAME_BYTES:
        raise errors.FrameTooLargeError(f"{len(data)} bytes")
    return data


def decode(data: bytes) -> list[Envelope]:
    """Decodes a frame and validates its messages.

    Raises:
      FrameTooLargeError: if the frame exceeds MAX_FRAME_BYTES.
      FrameVersionError: if the protocol version of the frame is not VERSION.
      FrameError: if the frame is malformed or a message is invalid.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise errors.FrameTooLargeError(f"{len(data)} bytes")
    frame = _parse_cbor(data)
    match frame:
        case [version, _] if _is_integer(version) and version != VERSION:
            raise errors.FrameVersionError(str(version)[:MAX_VERSION_CHARS])
        case [version, list(body)] if (
            _is_integer(version) and len(body) <= MAX_MESSAGES
        ):
            return [_load_envelope(entry) for entry in body]
        case _:
            raise errors.FrameError("malformed frame")


def is_message(value: object) -> bool:
    """Returns whether the class of `value` has a border model."""
    return type(value) in _TAG_AND_MODEL_BY_CLASS


def dump_message(message: Any) -> tuple[str, dict[str, Any]]:
    """Returns the tag of a message and a map of its fields."""
    tag, model = _TAG_AND_MODEL_BY_CLASS[type(message)]
    return tag, model.from_data(message).dump_fields()


def load_message(tag: str, body: dict[str, Any]) -> Any:
    """Returns the message that has `tag` and the fields in `body`.

    Raises:
      FrameError: if the tag is unknown or the body is invalid.
    """
    if tag not in _MODEL_BY_TAG:
        raise errors.FrameError(f"unknown tag {tag}")
    return _validate_body(_MODEL_BY_TAG[tag], body)


def encode_document(value: document.Document) -> bytes:
    """Encodes the settings document for the platform's store.

    Raises:
      SettingsError: if the document is too large or has a value that its model
        does not permit.
    """
    try:
        return encode((Envelope(0, value),))
    except errors.FrameTooLargeError as exc:
        raise errors.SettingsError(f"too large: {exc.detail}") from exc
    except errors.FrameError as exc:
        raise errors.SettingsError(exc.detail) from exc


def decode_document(data: bytes) -> document.Document:
    """Decodes a settings document; empty `data` is an empty document.

    Raises:
      FrameError: if `data` is not a valid settings document.
    """
    if not data:
        return document.Document()
    match decode(data):
        case [Envelope(message=document.Document() as decoded)]:
            return decoded
        case _:
            raise errors.FrameError(
                "frame does not contain a settings document"
            )


class ResultCodec(ledger.ResultCodec):
    """Encodes the result sets of the ledger as CBOR frames."""

    def encode(self, results: tuple[request.ResultSet, ...]) -> bytes:
        """Encodes `results` as one frame."""
        return encode(Envelope(0, result) for result in results)

    def decode(self, data: bytes) -> tuple[request.ResultSet, ...]:
        """Decodes the result sets in a frame."""
        return tuple(envelope.message for envelope in decode(data))


def _parse_cbor(data: bytes) -> Any:
    try:
        with io.BytesIO(data) as stream:
            value = cbor2.CBORDecoder(stream).decode()
            if stream.tell() != len(data):
                raise errors.FrameError(
                    "unexpected bytes after the end of the frame"
                )
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


def _is_integer(value: Any) -> bool:
    """Returns whether `value` is an integer and not a boolean."""
    return type(value) is int


def _dump_envelope(envelope: Envelope) -> list[Any]:
    tag, body = dump_message(envelope.message)
    return [envelope.seq, tag, body]


def _load_envelope(entry: Any) -> Envelope:
    match entry:
        case [seq, str(tag), dict(body)] if (
            _is_integer(seq)
            and 0 <= seq <= base.MAX_INTEGER
            and tag in _MODEL_BY_TAG
        ):
            return Envelope(seq, _validate_body(_MODEL_BY_TAG[tag], body))
        case _:
            raise errors.FrameError("malformed envelope")


def _validate_body(model: type[base.Model], body: dict[str, Any]) -> Any:
    try:
        return model.model_validate(body).to_data()
    except pydantic.ValidationError as exc:
        name = model.data_class.__name__
        raise errors.FrameError(f"{name}.{_describe_error(exc)}") from exc


def _describe_error(exc: pydantic.ValidationError) -> str:
    """Returns the location and the message of the first validation error."""
    first_error = exc.errors(include_input=False)[0]
    location = ".".join(str(part) for part in first_error["loc"])
    return f"{location}: {first_error['msg']}"
