"""Readings at several sizes, and the straight line through them."""

from __future__ import annotations

import abc
import collections
import dataclasses
import statistics
from typing import TYPE_CHECKING, ClassVar

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """One measured value of a quantity at a size."""

    quantity: str
    unit: str
    size: int
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """What one more of something costs.

    Attributes:
      quantity: what was measured.
      unit: the unit of `base`, and of `slope` for one more `per`.
      per: what the size counts.
      base: the median of the lines' values at size 0.
      slope: the median of the lines' slopes, one line for each repeat.
      lowest: the lowest of them.
      highest: the highest of them.
      points: the median value at each size.
    """

    quantity: str
    unit: str
    per: str
    base: float
    slope: float
    lowest: float
    highest: float
    points: tuple[tuple[int, float], ...]


class Measure(abc.ABC):
    """One measurement: readings at any of its sizes.

    Attributes:
      name: by which the command line selects it.
      per: what the size counts.
      sizes: the sizes, in the order in which they are measured.
      repeats: how often each size is measured.
    """

    name: ClassVar[str]
    per: ClassVar[str]
    sizes: ClassVar[tuple[int, ...]]
    repeats: ClassVar[int] = 3

    @abc.abstractmethod
    def take(self, size: int) -> Iterator[Reading]:
        """Yields the readings at `size`."""


def run(measure: Measure) -> Iterator[Slope]:
    """Yields the slopes of a measurement."""
    rounds = [list(_take_all(measure)) for _ in range(measure.repeats)]
    first = {r.quantity: r.unit for r in rounds[0]}
    for quantity, unit in first.items():
        lines = [_points(readings, quantity) for readings in rounds]
        yield _fit(quantity, unit, measure.per, lines)


def _take_all(measure: Measure) -> Iterator[Reading]:
    for size in measure.sizes:
        yield from measure.take(size)


def _points(
    readings: Iterable[Reading], quantity: str
) -> list[tuple[int, float]]:
    return [(r.size, r.value) for r in readings if r.quantity == quantity]


def _fit(
    quantity: str,
    unit: str,
    per: str,
    lines: list[list[tuple[int, float]]],
) -> Slope:
    fits = [
        statistics.linear_regression(*zip(*line, strict=True)) for line in lines
    ]
    slopes = [fit.slope for fit in fits]
    at_size: dict[int, list[float]] = collections.defaultdict(list)
    for size, value in (point for line in lines for point in line):
        at_size[size].append(value)
    return Slope(
        quantity,
        unit,
        per,
        statistics.median(fit.intercept for fit in fits),
        statistics.median(slopes),
        min(slopes),
        max(slopes),
        tuple((s, statistics.median(v)) for s, v in at_size.items()),
    )
