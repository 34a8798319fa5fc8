"""Exponential back-off between attempts."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Few enough for the bound to stay a number.
MAX_DOUBLINGS = 64


@dataclasses.dataclass(slots=True)
class ReconnectBackoff:
    """Exponential back-off with jitter between connection attempts.

    The jitter keeps the hosts from reconnecting at the same moment.

    Attributes:
      initial_s: the upper bound of the delay after the first failure, in
        seconds.
      max_s: the upper bound of the delay after any number of failures, in
        seconds.
      failures: the number of consecutive failed attempts.
      retry_at: the earliest time of the next attempt, on the local clock.
    """

    initial_s: float
    max_s: float
    failures: int = 0
    retry_at: float = 0.0

    def is_due(self, now: float) -> bool:
        """Returns whether a connection attempt is allowed now."""
        return now >= self.retry_at

    def record_failure(self, now: float, rng: random.Random) -> None:
        """Delays the next attempt; the bound doubles with each failure."""
        limit_s = doubled_delay_s(self.initial_s, self.failures, self.max_s)
        self.failures += 1
        self.retry_at = now + limit_s * rng.uniform(0.5, 1.0)

    def record_success(self) -> None:
        """Resets the failure count after a successful attempt."""
        self.failures = 0


def doubled_delay_s(initial_s: float, doublings: int, max_s: float) -> float:
    """Returns `initial_s` doubled so many times, at most `max_s`; seconds."""
    return min(initial_s * 2 ** min(doublings, MAX_DOUBLINGS), max_s)
