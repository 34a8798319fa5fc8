"""The coordinator's ledger of who has which share of a quota.

A share counts until its host has confirmed a smaller one, or until it has
expired. A new coordinator knows nothing of the shares that its predecessor
granted to hosts that have not reported yet. Until these have expired, it only
moves shares between hosts. A part of each quota is never given as shares, but
for single operations. So a new coordinator can give out this part at once.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

# The part of a quota that is given for single operations only.
POOL_SHARE = 0.5
# Shares are not moved for differences below this part of a share.
TOLERANCE = 0.1
# A host that wants less than it has keeps this multiple of what it wants.
KEPT_FACTOR = 1.5
# A smaller free share is not worth a message.
MIN_FREE = 0.001
# Of the tokens that belong to a share, so many stay for hosts that lack one.
KEPT_TOKENS = 1.0
# A host that lacks tokens gets a few more, if there are many.
SPARE_SHARE = 0.05
MAX_SPARE_TOKENS = 2.0


@dataclasses.dataclass(slots=True)
class Holding:
    """A host's share of one quota.

    Attributes:
      granted: the share that was granted last.
      confirmed: the share that the host had when it reported last; it may have
        either.
      wanted: the share that it needs.
      missing: how many of its operations wait for tokens.
      until: when both have expired; local clock, seconds.
    """

    granted: float = 0.0
    confirmed: float = 0.0
    wanted: float = 0.0
    missing: int = 0
    until: float = 0.0

    @property
    def counted(self) -> float:
        """The share that the host may be using."""
        return max(self.granted, self.confirmed)

    def shrink(self, target: float) -> bool:
        """Lowers a share clearly above its target; returns whether it was."""
        if self.granted <= target * KEPT_FACTOR:
            return False
        self.granted = target
        return True


@dataclasses.dataclass(slots=True)
class AccountLedger:
    """The shares of one account's quota.

    Attributes:
      holdings: the shares by host.
      released: what hosts have given up since this coordinator began, as long
        as it doesn't know all shares.
      tokens: operations that belong to the part of the quota that no host has.
      filled_at: when the tokens were counted last; local clock, seconds.
      rebalanced_at: when shares were last moved between other hosts.
      min_share: a smaller share does not hold a single token.
    """

    holdings: dict[str, Holding] = dataclasses.field(default_factory=dict)
    released: float = 0.0
    tokens: float = 0.0
    filled_at: float = 0.0
    rebalanced_at: float = float("-inf")
    min_share: float = 0.0
    _wanted: float = 0.0

    def set_wanted(self, holding: Holding, wanted: float) -> None:
        """Records what the host of a holding needs."""
        self._wanted += wanted - holding.wanted
        holding.wanted = wanted

    def confirm(self, holding: Holding, held: float) -> None:
        """Records the share of a host that knows of all grants to it."""
        self.released += max(holding.counted - held, 0.0)
        holding.granted = holding.confirmed = held

    def remove(self, host: str) -> float:
        """Forgets a host; returns the share that it may have used."""
        holding = self.holdings.pop(host, None)
        if holding is None:
            return 0.0
        self._wanted -= holding.wanted
        return holding.counted

    def counted(self) -> float:
        """Returns the sum of the shares that hosts may be using."""
        return sum(each.counted for each in self.holdings.values())

    def expire(self, now: float) -> None:
        """Forgets the shares that have expired."""
        for host, holding in list(self.holdings.items()):
            if now >= holding.until:
                self.remove(host)

    def free(self, now: float, known_from: float) -> float:
        """Returns the share that may be granted.

        Args:
          now: the current time; local clock, seconds.
          known_from: from when on all shares are known.
        """
        if now < known_from:
            return max(self.released, 0.0)
        return max(1.0 - POOL_SHARE - self.counted(), 0.0)

    def pooled(
        self, now: float, known_from: float, *, is_certain: bool
    ) -> float:
        """Returns the share that is left for single operations.

        That is what no host has, and what none can have. The latter belongs to
        the successor of a coordinator that is not certain to be one any more.
        """
        pool_share = POOL_SHARE if is_certain else 0.0
        return pool_share + self.free(now, known_from)

    def fill(
        self, rate_per_s: float, max_tokens: float, pooled: float, now: float
    ) -> None:
        """Adds the tokens of the pooled share since the last call."""
        elapsed_s = now - self.filled_at
        self.filled_at = now
        filled = self.tokens + elapsed_s * rate_per_s * pooled
        self.tokens = min(filled, max(max_tokens * pooled, self.tokens))

    def take_tokens(self, missing: int, added: float, pooled: float) -> float:
        """Takes the tokens that go to a host with a part of the free share.

        Args:
          missing: how many operations of the host wait for one.
          added: the share that the host gets.
          pooled: the share that was left for single operations before that.
        """
        in_proportion = self.tokens * added / pooled if pooled > 0 else 0.0
        spare = min(self.tokens * SPARE_SHARE, MAX_SPARE_TOKENS)
        wanted = max(in_proportion - KEPT_TOKENS, 0.0)
        if missing:
            wanted = max(wanted, missing + spare)
        taken = min(wanted, self.tokens)
        self.tokens -= taken
        return taken

    def target(self, holding: Holding) -> float:
        """Returns the share that a host should have."""
        most = 1.0 - POOL_SHARE
        target = holding.wanted * most / max(self._wanted, most)
        return target if target >= self.min_share else 0.0

    def under_target(self) -> list[str]:
        """Returns the hosts that have clearly less than they should have."""
        return [
            host
            for host, holding in self.holdings.items()
            if holding.granted * (1 + TOLERANCE) < self.target(holding)
        ]

    def over_target(self) -> Iterator[tuple[str, float]]:
        """Yields the hosts that have clearly more than they should have."""
        for host, holding in self.holdings.items():
            target = self.target(holding)
            if holding.granted > target * (1 + TOLERANCE):
                yield host, target
