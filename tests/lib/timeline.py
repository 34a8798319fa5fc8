"""Virtual clock for simulations: runs scheduled calls in order of time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

START_S = 100.0


class VirtualClock:
    """A clock that advances to the time of the next scheduled call.

    Attributes:
      now: the current time, in seconds.
    """

    def __init__(self) -> None:
        self.now = START_S
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedules a call `delay_s` seconds from now."""
        event = (self.now + delay_s, next(self._sequence), callback)
        heapq.heappush(self._events, event)

    def run(self, seconds: float) -> None:
        """Advances the clock by `seconds` and runs the calls that fall due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end
