"""Base types of the pipes-and-filters structure: item, filter, pipe, core."""

from __future__ import annotations

import abc
import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A message that flows through the pipes.

    Attributes:
      at: the monotonic time in seconds, set by the source of the item.
    """

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Tick(Item):
    """A timer event.

    Attributes:
      wall_s: the wall-clock time in seconds since the Unix epoch.
    """

    wall_s: float


class Filter(abc.ABC):
    """One processing stage of a pipe.

    A filter holds only its own state. It reads no clock and opens no socket,
    and it takes random numbers only from a seeded generator passed to it.
    """

    @abc.abstractmethod
    def process(self, item: Item) -> Iterator[Item]:
        """Yields the items that result from `item`.

        An item that the filter does not handle is yielded unchanged.
        """


class Pipe:
    """A sequence of filters, chained as generators.

    Attributes:
      filters: the filters in order.
      accepts: the item types that the first filter of the pipe receives.
      emits: the item types that the pipe makes for itself, other pipes or the
        border; `wiring.check` relies on them.
    """

    def __init__(
        self,
        filters: Sequence[Filter],
        accepts: Iterable[type[Item]],
        emits: Iterable[type[Item]] = (),
    ) -> None:
        self.filters = tuple(filters)
        self.accepts = frozenset(accepts)
        self.emits = frozenset(emits)

    def feed(self, item: Item) -> Iterator[Item]:
        """Yields the items that the last filter emits for `item`."""
        stream: Iterator[Item] = iter((item,))
        for stage in self.filters:
            stream = _apply(stage, stream)
        return stream


class Core:
    """All pipes of a process, connected by the types of their items.

    An item is fed to each pipe that accepts its type. An item that a pipe emits
    is fed back if any pipe, including the same one, accepts its type. All
    emitted items are also yielded, so that sinks receive both views and
    effects. An item that passes through a pipe unchanged is dropped.
    """

    def __init__(self, pipes: Sequence[Pipe]) -> None:
        self._pipes_by_type: dict[type[Item], list[Pipe]] = {}
        for pipe in pipes:
            for accepted in pipe.accepts:
                self._pipes_by_type.setdefault(accepted, []).append(pipe)

    def feed(
        self, item: Item, report: Callable[[Exception], None] | None = None
    ) -> Iterator[Item]:
        """Yields all items that result from `item`, breadth first.

        If a filter raises an exception, its pipe emits no more items for the
        current item. The exception is passed to `report`, and the other pipes
        and the items that wait are processed; without `report`, it is raised.
        """
        pending = collections.deque((item,))
        while pending:
            current = pending.popleft()
            for pipe in self._pipes_by_type.get(type(current), ()):
                for emitted in _reporting(pipe.feed(current), report):
                    if emitted is current:
                        continue
                    if type(emitted) in self._pipes_by_type:
                        pending.append(emitted)
                    yield emitted


def _reporting(
    stream: Iterator[Item], report: Callable[[Exception], None] | None
) -> Iterator[Item]:
    """Yields the items of `stream`; ends it at an exception."""
    try:
        yield from stream
    except Exception as exc:
        if report is None:
            raise
        report(exc)


def _apply(stage: Filter, stream: Iterable[Item]) -> Iterator[Item]:
    for item in stream:
        yield from stage.process(item)
