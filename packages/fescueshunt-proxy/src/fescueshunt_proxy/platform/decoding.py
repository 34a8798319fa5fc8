"""Decodes JSON into models."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from fescueshunt import errors

DocumentT = TypeVar("DocumentT")


def decode(model: type[DocumentT], data: bytes) -> DocumentT:
    """Decodes JSON into `model`; unknown fields are ignored.

    Raises:
      DocumentUnreadableError: if `data` is not a valid `model`.
    """
    try:
        return msgspec.json.decode(data, type=model)
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        RecursionError,
    ) as exc:
        raise errors.DocumentUnreadableError(str(exc)) from exc
