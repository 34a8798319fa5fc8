"""Codec of the frames that hosts send each other.

A frame is a CBOR array of messages, each an array with its tag first. Every
message is checked against its model before it becomes a data class of the core.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import cbor2
import msgspec

from fescueshunt import errors
from fescueshunt_wire import host_fields, host_loans, host_quotas

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fescueshunt.core import peer_items

MAX_FRAME_BYTES = 8 << 20
# A batch is split into frames of about this size.
TARGET_FRAME_BYTES = 256 << 10


class Hello(host_fields.Message, frozen=True, tag=0):
    """The first message on a link: the name of the host that opened it."""

    host: host_fields.Name


_AnyMessage = Hello | host_loans.AnyMessage | host_quotas.AnyMessage


def encode(messages: Iterable[peer_items.PeerMessage | Hello]) -> list[bytes]:
    """Returns the frames that carry `messages`, in order.

    Raises:
      FrameTooLargeError: if a message does not fit into a frame.
    """
    frames: list[bytes] = []
    batch: list[bytes] = []
    size = 0
    for message in messages:
        data = cbor2.dumps(_to_fields(message))
        if len(data) > MAX_FRAME_BYTES - TARGET_FRAME_BYTES:
            raise errors.FrameTooLargeError(f"{len(data)} bytes in a message")
        if batch and size + len(data) > TARGET_FRAME_BYTES:
            frames.append(_frame(batch))
            batch, size = [], 0
        batch.append(data)
        size += len(data)
    if batch:
        frames.append(_frame(batch))
    return frames


def _frame(batch: list[bytes]) -> bytes:
    """Returns the array of messages that are already encoded."""
    header = cbor2.dumps([None] * len(batch))[: -len(batch)]
    return header + b"".join(batch)


def decode(data: bytes) -> list[peer_items.PeerMessage | Hello]:
    """Returns the messages of a frame.

    Raises:
      FrameError: if the frame is not valid.
    """
    try:
        models = msgspec.convert(cbor2.loads(data), list[_AnyMessage])
        return [_to_message(model) for model in models]
    except (
        msgspec.ValidationError,
        cbor2.CBORDecodeError,
        UnicodeError,
        RecursionError,
        TypeError,
    ) as exc:
        raise errors.FrameError(str(exc)) from exc


def _to_fields(message: peer_items.PeerMessage | Hello) -> list[object]:
    if isinstance(message, Hello):
        return [0, message.host]
    if isinstance(message, host_quotas.Message):
        return host_quotas.to_fields(message)
    return host_loans.to_fields(message)


def _to_message(model: _AnyMessage) -> peer_items.PeerMessage | Hello:
    if isinstance(model, Hello):
        return model
    if isinstance(model, host_quotas.AnyMessage):
        return host_quotas.to_message(model)
    return host_loans.to_message(model)
