"""Random arrival times for an open-loop load."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


def poisson(rate: float, seconds: float, rng: random.Random) -> list[float]:
    """Returns the sorted arrival times of a Poisson process.

    Args:
      rate: the mean number of arrivals per second.
      seconds: the duration; the arrival times are between 0 and this.
      rng: the source of randomness.
    """
    times: list[float] = []
    time_s = rng.expovariate(rate)
    while time_s < seconds:
        times.append(time_s)
        time_s += rng.expovariate(rate)
    return times
