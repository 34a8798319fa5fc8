"""Virtual time: events in the order of their times."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

START_S = 100.0


class Timeline:
    """A clock that goes from event to event."""

    def __init__(self) -> None:
        self.now = START_S
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, delay_s: float, act: Callable[[], None]) -> None:
        """Does `act` after `delay_s`."""
        event = (self.now + delay_s, next(self._order), act)
        heapq.heappush(self._events, event)

    def run(self, seconds: float) -> None:
        """Lets `seconds` pass."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, act = heapq.heappop(self._events)
            act()
        self.now = until
