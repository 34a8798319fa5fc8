"""Ranks of work."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """One rank of work.

    Attributes:
      order: 0 is the most urgent.
      target_s: the latency within which an answer is worth its full value.
      worth: the relative worth of an answer in time.
      floor: the share of an upstream's slots that the rank keeps in a flood.
      ceiling: the share of the slots that the rank may hold at most.
    """

    name: str
    order: int
    target_s: float
    worth: float
    floor: float
    ceiling: float = 1.0
