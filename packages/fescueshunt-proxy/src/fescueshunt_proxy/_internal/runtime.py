"""The runtime: sources feed the core, and its effects reach the sinks."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, TypeVar

import reactivex
import structlog
from reactivex import operators

from fescueshunt.core import filters, process

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator

    from reactivex import abc

ItemT = TypeVar("ItemT", bound=filters.Item)
ReceivedT = TypeVar("ReceivedT")


@contextlib.asynccontextmanager
async def background() -> AsyncIterator[asyncio.TaskGroup]:
    """Yields a task group whose tasks end with the block."""
    async with asyncio.TaskGroup() as tasks:
        yield tasks
        for task in asyncio.all_tasks():
            if task is not asyncio.current_task():
                task.cancel()


class Runtime:
    """Joins sources, core and sinks with observables on the one loop.

    A sink must not feed items back while it is called; it starts a task. An
    observable ends with the first exception that leaves a subscriber, and the
    proxy would go on without it. So an exception that an item causes is
    reported as an effect, and the next item is served.

    Args:
      core: the decisions.
      clock: gives the time of items in seconds and never goes back.
    """

    def __init__(
        self, core: filters.Core, clock: Callable[[], float] | None = None
    ) -> None:
        self._clock = clock
        self._logger = structlog.get_logger(__name__)
        self._entered: reactivex.Subject[filters.Item] = reactivex.Subject()
        self._mouth: reactivex.Subject[filters.Item] = reactivex.Subject()
        self._outlets: dict[type, reactivex.Subject[filters.Item]] = {}
        deliver = self._contain(self._deliver)
        self._mouth.pipe(operators.map(core.feed)).subscribe(deliver)

    def now(self) -> float:
        """Returns the time of the clock, by default the loop's; seconds."""
        if self._clock is not None:
            return self._clock()
        return asyncio.get_running_loop().time()

    def feed(self, item: filters.Item) -> None:
        """Puts an item of a source into the core."""
        self._entered.on_next(item)
        self._mouth.on_next(item)

    def observe(
        self, observer: Callable[[filters.Item], None]
    ) -> abc.DisposableBase:
        """Shows every item to `observer` before the core takes it.

        Returns what ends the subscription, a context manager.
        """
        return self._entered.subscribe(self._contain(observer))

    def subscribe(
        self, kind: type[ItemT], sink: Callable[[ItemT], None]
    ) -> None:
        """Hands every effect of type `kind` to `sink`."""
        outlet = self._outlets.setdefault(kind, reactivex.Subject())
        outlet.subscribe(self._contain(sink))

    def _deliver(self, effects: Iterator[filters.Item]) -> None:
        for effect in effects:
            self._hand_out(effect)

    def _hand_out(self, effect: filters.Item) -> None:
        outlet = self._outlets.get(type(effect))
        if outlet is not None:
            outlet.on_next(effect)

    def _contain(
        self, receive: Callable[[ReceivedT], None]
    ) -> Callable[[ReceivedT], None]:
        """Returns `receive` with its exceptions reported and not raised."""

        def receive_safely(received: ReceivedT) -> None:
            try:
                receive(received)
            except Exception as exc:
                self._report(exc)

        return receive_safely

    def _report(self, exc: Exception) -> None:
        kind = type(exc).__name__
        self._logger.error("item_failed", error=kind, exc_info=exc)
        self._hand_out(process.ItemFailed(self.now(), kind))
