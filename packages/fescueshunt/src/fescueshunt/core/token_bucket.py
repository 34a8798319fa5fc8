"""A token bucket whose rate and size may change."""

from __future__ import annotations

import dataclasses

# Tokens that were given to a bucket without a rate of its own may stay.
SPARE_TOKENS = 3.0


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Permits operations at a rate, and some more at once.

    Attributes:
      rate_per_s: the tokens that are added each second.
      size: the most tokens that it holds.
      tokens: the tokens that it has.
      filled_at: when these were counted; local clock, seconds.
    """

    rate_per_s: float = 0.0
    size: float = 0.0
    tokens: float = 0.0
    filled_at: float = 0.0

    def fill(self, now: float) -> None:
        """Adds the tokens since the last call."""
        elapsed_s = max(now - self.filled_at, 0.0)
        self.filled_at = now
        filled = self.tokens + elapsed_s * self.rate_per_s
        self.tokens = min(filled, max(self.size, self.tokens))

    def resize(self, rate_per_s: float, size: float, now: float) -> None:
        """Changes the rate and the size from now on."""
        self.fill(now)
        self.rate_per_s, self.size = rate_per_s, size
        self.tokens = min(self.tokens, max(size, SPARE_TOKENS))

    def add(self, tokens: float) -> None:
        """Adds tokens that were given, as far as they fit."""
        self.tokens = min(self.tokens + tokens, max(self.size, SPARE_TOKENS))

    def take(self, now: float) -> bool:
        """Takes a token; returns whether there was one."""
        self.fill(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def take_later(self) -> None:
        """Takes a token that may be missing now; others wait for it."""
        self.tokens -= 1.0

    def wait_s(self) -> float:
        """Returns when the next token is there, in seconds from the last fill.

        Infinite if there will be none.
        """
        missing = max(1.0 - self.tokens, 0.0)
        if not missing:
            return 0.0
        if self.rate_per_s <= 0 or self.size < 1.0:
            return float("inf")
        return missing / self.rate_per_s
