"""Writes the first settings document to the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt_wire import channel, codec, platform

if TYPE_CHECKING:
    from fescueshunt.core import document

SETTINGS_KEY = "fescueshunt/settings"
TIMEOUT_S = 5.0


async def put_if_absent(address: str, initial: document.Document) -> None:
    """Stores the first settings document if the store has no settings yet.

    Args:
      address: the address of the platform's store, as `IP:PORT`.
      initial: the first settings document.

    Raises:
      RevisionConflictError: if the store has settings already.
      ConnectionLostError: if the store cannot be reached or does not answer;
        the document may have been stored.
    """
    data = codec.encode_document(initial)
    call = platform.CompareAndSwap(SETTINGS_KEY, 0, data)
    async with channel.connect(address) as store:
        swapped = await store.call(call, TIMEOUT_S)
    if not swapped.done:
        raise errors.RevisionConflictError("the store has settings already")
