"""Items about the process itself: shutdown and failed items."""

from __future__ import annotations

import dataclasses

from fescueshunt.core import filters


@dataclasses.dataclass(frozen=True, slots=True)
class StopAsked(filters.Item):
    """An operator or a signal requested a graceful shutdown of this proxy."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stopped(filters.Item):
    """No request is in flight any more, so the process may exit."""


@dataclasses.dataclass(frozen=True, slots=True)
class ItemFailed(filters.Item):
    """Processing an item raised an exception, and the item was dropped.

    Attributes:
      error: the name of the exception type.
    """

    error: str
