"""Runtime that feeds items to the core and delivers its effects to sinks."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from typing import TYPE_CHECKING, TypeVar

import reactivex
import structlog
from reactivex import operators

from fescueshunt.core import filters, process

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator

    from reactivex import abc

ItemT = TypeVar("ItemT", bound=filters.Item)
ValueT = TypeVar("ValueT")


@contextlib.asynccontextmanager
async def background_tasks() -> AsyncIterator[asyncio.TaskGroup]:
    """Yields a task group; cancels all other tasks of the loop on exit."""
    async with asyncio.TaskGroup() as tasks:
        yield tasks
        for task in asyncio.all_tasks():
            if task is not asyncio.current_task():
                task.cancel()


class Runtime:
    """Connects sources, the core and sinks through observables on one loop.

    A sink must not feed items to the core while it is called; it starts a task
    to do so. An observable ends at the first exception that a subscriber
    raises, and the proxy would keep running without it. An exception that an
    item causes is therefore reported as an `ItemFailed` effect. It affects no
    other pipe, no other effect and no other item.

    Args:
      core: the core, which makes the decisions.
      clock: returns the time of items in seconds and must be monotonic; None
        for the clock of the event loop.
    """

    def __init__(
        self, core: filters.Core, clock: Callable[[], float] | None = None
    ) -> None:
        self._clock = clock
        self._is_closed = False
        self._logger = structlog.get_logger(__name__)
        self._observed_items: reactivex.Subject[filters.Item] = (
            reactivex.Subject()
        )
        self._core_input: reactivex.Subject[filters.Item] = reactivex.Subject()
        self._effect_subjects: dict[type, reactivex.Subject[filters.Item]] = {}
        publish_effects = self._report_exceptions(self._publish_effects)
        feed_core = functools.partial(core.feed, report=self._report_failure)
        self._core_input.pipe(operators.map(feed_core)).subscribe(
            publish_effects
        )

    def now(self) -> float:
        """Returns the time of the clock, in seconds."""
        if self._clock is not None:
            return self._clock()
        return asyncio.get_running_loop().time()

    def feed(self, item: filters.Item) -> None:
        """Feeds an item from a source to the core and delivers its effects."""
        if self._is_closed:
            return
        self._observed_items.on_next(item)
        self._core_input.on_next(item)

    @contextlib.contextmanager
    def closing(self) -> Iterator[None]:
        """Drops the items that arrive after the context has exited.

        Adapters still report events while they are closed. The tasks that their
        effects would need could not run any more.
        """
        try:
            yield
        finally:
            self._is_closed = True

    def observe(
        self, observer: Callable[[filters.Item], None]
    ) -> abc.DisposableBase:
        """Calls `observer` with every item before the core processes it.

        Returns a handle that ends the subscription when it is disposed of or,
        as a context manager, when its block ends.
        """
        return self._observed_items.subscribe(self._report_exceptions(observer))

    def subscribe(
        self, effect_type: type[ItemT], sink: Callable[[ItemT], None]
    ) -> None:
        """Calls `sink` with every effect whose type is `effect_type`."""
        subject = self._effect_subjects.setdefault(
            effect_type, reactivex.Subject()
        )
        subject.subscribe(self._report_exceptions(sink))

    def _publish_effects(self, effects: Iterator[filters.Item]) -> None:
        for effect in effects:
            self._publish(effect)

    def _publish(self, effect: filters.Item) -> None:
        subject = self._effect_subjects.get(type(effect))
        if subject is not None:
            subject.on_next(effect)

    def _report_exceptions(
        self, handle: Callable[[ValueT], None]
    ) -> Callable[[ValueT], None]:
        """Returns a wrapper of `handle` that reports its exceptions.

        The wrapper does not raise them.
        """

        def handle_or_report(value: ValueT) -> None:
            try:
                handle(value)
            except Exception as exc:
                self._report_failure(exc)

        return handle_or_report

    def _report_failure(self, exc: Exception) -> None:
        error_type = type(exc).__name__
        # A log that can't be written must not end the process.
        with contextlib.suppress(OSError):
            self._logger.error("item_failed", error=error_type, exc_info=exc)
        self._publish(process.ItemFailed(self.now(), error_type))
