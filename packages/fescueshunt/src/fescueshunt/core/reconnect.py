"""When the next connection to an upstream may be opened after failures."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


@dataclasses.dataclass(slots=True)
class ReconnectBackoff:
    """Waits longer for each failure in a row, never the same for all hosts.

    Attributes:
      first_s: the longest wait after one failure; seconds.
      most_s: the longest wait after any number of them.
      failures: how many opens failed in a row.
      open_after: no connection is opened before; local clock.
    """

    initial_s: float
    max_s: float
    failures: int = 0
    retry_at: float = 0.0

    def is_due(self, now: float) -> bool:
        """Tells whether a connection may be opened."""
        return now >= self.retry_at

    def record_failure(self, now: float, chance: random.Random) -> None:
        """Puts off the next open, longer for each failure in a row."""
        limit_s = min(self.initial_s * 2**self.failures, self.max_s)
        self.failures += 1
        self.retry_at = now + limit_s * chance.uniform(0.5, 1.0)

    def record_success(self) -> None:
        """Forgets the failures."""
        self.failures = 0
