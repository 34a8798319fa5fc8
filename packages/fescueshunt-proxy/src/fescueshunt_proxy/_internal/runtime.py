"""The runtime: sources feed the core, and its effects reach the sinks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

import reactivex
from reactivex import operators

from fescueshunt.core import filters

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

ItemT = TypeVar("ItemT", bound=filters.Item)


class Runtime:
    """Joins sources, core and sinks with observables on the one loop.

    A sink must not feed items back while it is called; it starts a task.
    """

    def __init__(self, core: filters.Core) -> None:
        self._entered: reactivex.Subject[filters.Item] = reactivex.Subject()
        self._mouth: reactivex.Subject[filters.Item] = reactivex.Subject()
        self._outlets: dict[type, reactivex.Subject[filters.Item]] = {}
        self._mouth.pipe(operators.map(core.feed)).subscribe(self._deliver)

    def now(self) -> float:
        """Returns the time of the loop's clock; seconds, monotonic."""
        return asyncio.get_running_loop().time()

    def feed(self, item: filters.Item) -> None:
        """Puts an item of a source into the core."""
        self._entered.on_next(item)
        self._mouth.on_next(item)

    def entering(self) -> reactivex.Observable[filters.Item]:
        """Returns all items, each before the core takes it."""
        return self._entered

    def subscribe(
        self, kind: type[ItemT], sink: Callable[[ItemT], None]
    ) -> None:
        """Hands every effect of type `kind` to `sink`."""
        outlet = self._outlets.setdefault(kind, reactivex.Subject())
        outlet.subscribe(sink)

    def _deliver(self, effects: Iterator[filters.Item]) -> None:
        for effect in effects:
            outlet = self._outlets.get(type(effect))
            if outlet is not None:
                outlet.on_next(effect)
