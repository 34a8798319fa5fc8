"""Items of the process itself: asked to stop, stopped, an item failed."""

from __future__ import annotations

import dataclasses

from fescueshunt.core import filters


@dataclasses.dataclass(frozen=True, slots=True)
class StopAsked(filters.Item):
    """An operator, or a signal, asks this proxy to stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stopped(filters.Item):
    """Nothing is in flight any more; the process may exit."""


@dataclasses.dataclass(frozen=True, slots=True)
class ItemFailed(filters.Item):
    """An item caused an exception of type `error`, and was dropped."""

    error: str
