"""The key of the settings in the platform's store, and their first revision."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt_wire import channel, codec, platform

if TYPE_CHECKING:
    from fescueshunt.core import document

SETTINGS_KEY = "fescueshunt/settings"
TIMEOUT_S = 5.0


async def put_if_absent(store: str, first: document.Document) -> None:
    """Puts `first` into the store at the address `store`, which has none yet.

    Raises:
      RevisionConflictError: if the store has settings already.
      ConnectionLostError: if it gives no answer; they may be in the store.
    """
    data = codec.encode_document(first)
    call = platform.CompareAndSwap(SETTINGS_KEY, 0, data)
    async with channel.connect(store) as calls:
        swapped = await calls.call(call, TIMEOUT_S)
    if not swapped.done:
        raise errors.RevisionConflictError("the store has settings already")
