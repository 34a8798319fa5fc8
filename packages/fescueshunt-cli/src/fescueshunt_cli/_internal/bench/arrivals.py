"""Arrival times of an open-loop load."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


def poisson(rate: float, seconds: float, chance: random.Random) -> list[float]:
    """Returns the arrival times of a Poisson process; seconds from 0."""
    times: list[float] = []
    now = chance.expovariate(rate)
    while now < seconds:
        times.append(now)
        now += chance.expovariate(rate)
    return times
