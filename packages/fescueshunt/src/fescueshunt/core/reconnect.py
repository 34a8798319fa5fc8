"""When the next connection to an upstream may be opened after failures."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


@dataclasses.dataclass(slots=True)
class Reconnect:
    """Waits longer for each failure in a row, never the same for all hosts.

    Attributes:
      first_s: the longest wait after one failure; seconds.
      most_s: the longest wait after any number of them.
      failures: how many opens failed in a row.
      open_after: no connection is opened before; local clock.
    """

    first_s: float
    most_s: float
    failures: int = 0
    open_after: float = 0.0

    def is_due(self, now: float) -> bool:
        """Tells whether a connection may be opened."""
        return now >= self.open_after

    def failed(self, now: float, chance: random.Random) -> None:
        """Puts off the next open, longer for each failure in a row."""
        limit_s = min(self.first_s * 2**self.failures, self.most_s)
        self.failures += 1
        self.open_after = now + limit_s * chance.uniform(0.5, 1.0)

    def succeeded(self) -> None:
        """Forgets the failures."""
        self.failures = 0
