"""Ranks: the priority classes of requests and statements."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """A priority class.

    Attributes:
      order: the priority; 0 is the most urgent.
      target_s: the target latency in seconds; a later answer is worth less.
      worth: the relative value of an answer within the target latency.
      floor: the share of an upstream's slots that is guaranteed to the rank
        under overload.
      ceiling: the largest share of the slots that the rank may occupy.
    """

    name: str
    order: int
    target_s: float
    worth: float
    floor: float
    ceiling: float = 1.0
