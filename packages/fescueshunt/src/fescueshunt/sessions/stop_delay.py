"""The filter that finds out how long a request to stop may have waited.

A signal waits while the process stands still, and nothing tells for how long.
The platform counts the grace period from when it sent the signal, so the stop
is counted from the earliest moment at which that may have been.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from fescueshunt.core import filters, process
from fescueshunt.sessions import items

if TYPE_CHECKING:
    from collections.abc import Iterator

# A tick that was due when the process stood still runs before the signal is
# seen, so the last tick but one is the last that surely came before the signal.
TICKS_KEPT = 2


class StopDelay(filters.Filter):
    """Starts a stop, counted from the last tick that surely came before."""

    def __init__(self) -> None:
        self._ticked_at: collections.deque[float] = collections.deque(
            maxlen=TICKS_KEPT
        )
        self._is_stopping = False

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields each item, and the start of the stop at the first request."""
        yield item
        match item:
            case filters.Tick():
                self._ticked_at.append(item.at)
            case process.StopAsked() if not self._is_stopping:
                self._is_stopping = True
                since = min((item.at, *self._ticked_at))
                yield items.StopStarted(item.at, since)
