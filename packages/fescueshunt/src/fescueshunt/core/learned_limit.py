"""Learns how many calls an upstream runs well at once.

Each call is compared with those of its kind that ran while few others did.
While calls take no longer and all of the limit is in use, the limit grows by
one; when they take clearly longer, it shrinks by a part. Fewer calls then run
together, so that an upstream that has become slower at any number of calls is
recognized, and the limit grows again.

Growth and decrease follow Chiu and Jain, "Analysis of the increase and decrease
algorithms for congestion avoidance in computer networks", Computer Networks and
ISDN Systems 17(1), 1989; the comparison with the time of few calls follows
Brakmo and Peterson, "TCP Vegas: end to end congestion avoidance on a global
Internet", IEEE JSAC 13(8), 1995.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable

# The limit is looked at after so many calls, as their times vary.
CALLS_PER_STEP = 25
# A call ran while few others did if at most this part of the limit was in use.
FEW_SHARE = 0.5
# How much longer than those calls may take.
MAX_STRETCH = 1.5
# Up to this factor, the limit may grow.
GROWTH_STRETCH = 1.2
DECREASE_FACTOR = 0.8
# The limit stays within these multiples of the upstream's own number of slots.
MIN_SLOTS_FACTOR = 0.75
MAX_SLOTS_FACTOR = 1.25
BASE_SMOOTHING = 0.05
RECENT_SMOOTHING = 0.1
STRETCH_SMOOTHING = 0.04
# A single call counts as at most this multiple of those of its kind.
MAX_RATIO = 4.0


@dataclasses.dataclass(slots=True)
class LearnedLimit:
    """How many calls may run at an upstream at once.

    Attributes:
      slots: how many the upstream says that it runs.
      limit: how many may run.
      stretch: how much longer calls take than when few run, as a factor.
    """

    slots: int
    limit: float = 0.0
    stretch: float = 1.0
    _base_s: dict[Hashable, float] = dataclasses.field(default_factory=dict)
    _recent_s: dict[Hashable, float] = dataclasses.field(default_factory=dict)
    _calls: int = 0
    _was_full: bool = False

    def __post_init__(self) -> None:
        """Begins with the slots of the upstream."""
        self.limit = float(max(self.slots, 1))

    def record(self, kind: Hashable, took_s: float, running: int) -> None:
        """Records a call that has ended.

        Args:
          kind: calls of one kind take about as long.
          took_s: how long it took, in seconds.
          running: how many calls ran while it did, with it.
        """
        base_s = self._base_s.setdefault(kind, took_s)
        if running <= max(self.limit * FEW_SHARE, 1.0):
            base_s += BASE_SMOOTHING * (took_s - base_s)
            self._base_s[kind] = base_s
        ratio = min(took_s / max(base_s, 1e-6), MAX_RATIO)
        self.stretch += STRETCH_SMOOTHING * (ratio - self.stretch)
        recent_s = self._recent_s.setdefault(kind, took_s)
        self._recent_s[kind] = recent_s + RECENT_SMOOTHING * (took_s - recent_s)
        self._was_full |= running >= int(self.limit)
        self._calls += 1
        if self._calls >= CALLS_PER_STEP:
            self._step()

    def service_s(self, kind: Hashable) -> float:
        """Returns how long a call of a kind takes at present; 0 if unknown."""
        return self._recent_s.get(kind, 0.0)

    def _step(self) -> None:
        slots = max(self.slots, 1)
        if self.stretch > MAX_STRETCH:
            least = max(slots * MIN_SLOTS_FACTOR, 1.0)
            self.limit = max(self.limit * DECREASE_FACTOR, least)
        elif self.stretch < GROWTH_STRETCH and self._was_full:
            self.limit = min(self.limit + 1.0, slots * MAX_SLOTS_FACTOR)
        self._calls = 0
        self._was_full = False
