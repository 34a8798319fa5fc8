"""The filter, the pipe and the core: how every decision is put together."""

from __future__ import annotations

import abc
import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """What flows through the pipes. Sources stamp `at`; seconds, monotonic."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Tick(Item):
    """The passing of time. `wall_s` is seconds since the epoch."""

    wall_s: float


class Filter(abc.ABC):
    """One decision of a pipe.

    A filter holds only its own state. It reads no clock, opens no socket and
    draws no random number but from a seeded source handed to it.
    """

    @abc.abstractmethod
    def process(self, item: Item) -> Iterator[Item]:
        """Yields what `item` becomes. An item of no concern passes on."""


class Pipe:
    """Filters in a row, chained as generators.

    Attributes:
      accepts: the item types that the mouth of the pipe takes.
    """

    def __init__(
        self, filters: Sequence[Filter], accepts: Iterable[type[Item]]
    ) -> None:
        self._filters = tuple(filters)
        self.accepts = frozenset(accepts)

    def feed(self, item: Item) -> Iterator[Item]:
        """Yields what comes out of the end of the pipe for `item`."""
        stream: Iterator[Item] = iter((item,))
        for stage in self._filters:
            stream = _through(stage, stream)
        return stream


class Core:
    """All pipes of a process, joined by the types of their items.

    An item goes into each pipe that accepts its type. What comes out of a pipe
    and is accepted by another one, or by the same one, is fed back. Everything
    that comes out is yielded too, so that sinks see views and effects alike;
    an item that no filter consumed, and so leaves as it came, is dropped.
    """

    def __init__(self, pipes: Sequence[Pipe]) -> None:
        self._routes: dict[type[Item], list[Pipe]] = {}
        for pipe in pipes:
            for accepted in pipe.accepts:
                self._routes.setdefault(accepted, []).append(pipe)

    def feed(self, item: Item) -> Iterator[Item]:
        """Yields the effects of `item`, in the order of their causes."""
        waiting = collections.deque((item,))
        while waiting:
            entering = waiting.popleft()
            for pipe in self._routes.get(type(entering), ()):
                for leaving in pipe.feed(entering):
                    if leaving is entering:
                        continue
                    if type(leaving) in self._routes:
                        waiting.append(leaving)
                    yield leaving


def _through(stage: Filter, stream: Iterable[Item]) -> Iterator[Item]:
    for item in stream:
        yield from stage.process(item)
