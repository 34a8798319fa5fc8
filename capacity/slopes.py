"""Measurements at several sizes, and a linear fit of cost against size."""

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
    """One measured value of a quantity; `size` is the number of units."""

    quantity: str
    unit: str
    size: int
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class LinearFit:
    """A linear fit of a quantity against the size.

    One line is fitted to the readings of each repetition.

    Attributes:
      quantity: the measured quantity.
      unit: the unit of `base`; `slope` is in this unit per `per`.
      per: the thing that the size counts, such as a connection.
      base: the median intercept of the lines, which is the cost at size 0.
      slope: the median slope of the lines, which is the marginal cost.
      lowest: the lowest slope.
      highest: the highest slope.
      points: pairs of a size and the median value at that size.
    """

    quantity: str
    unit: str
    per: str
    base: float
    slope: float
    lowest: float
    highest: float
    points: tuple[tuple[int, float], ...]


class Measurement(abc.ABC):
    """Base class of measurements that yield readings at a given size.

    Attributes:
      name: the name that selects the measurement on the command line.
      per: the thing that the size counts, such as a connection.
      sizes: the sizes, in the order in which they are measured.
      repeats: the number of repetitions over all sizes.
    """

    name: ClassVar[str]
    per: ClassVar[str]
    sizes: ClassVar[tuple[int, ...]]
    repeats: ClassVar[int] = 3

    @abc.abstractmethod
    def measure_at(self, size: int) -> Iterator[Reading]:
        """Runs the measured work at `size` and yields the readings."""


def run_measurement(measurement: Measurement) -> Iterator[LinearFit]:
    """Runs a measurement and yields a linear fit for each quantity."""
    repetitions = [
        list(_read_all_sizes(measurement)) for _ in range(measurement.repeats)
    ]
    units = {r.quantity: r.unit for r in repetitions[0]}
    for quantity, unit in units.items():
        point_lists = [
            _select_points(readings, quantity) for readings in repetitions
        ]
        yield _fit_lines(quantity, unit, measurement.per, point_lists)


def _read_all_sizes(measurement: Measurement) -> Iterator[Reading]:
    for size in measurement.sizes:
        yield from measurement.measure_at(size)


def _select_points(
    readings: Iterable[Reading], quantity: str
) -> list[tuple[int, float]]:
    return [(r.size, r.value) for r in readings if r.quantity == quantity]


def _fit_lines(
    quantity: str,
    unit: str,
    per: str,
    point_lists: list[list[tuple[int, float]]],
) -> LinearFit:
    fitted_lines = [
        statistics.linear_regression(*zip(*points, strict=True))
        for points in point_lists
    ]
    fitted_slopes = [fit.slope for fit in fitted_lines]
    values_by_size: dict[int, list[float]] = collections.defaultdict(list)
    for size, value in (point for points in point_lists for point in points):
        values_by_size[size].append(value)
    return LinearFit(
        quantity,
        unit,
        per,
        statistics.median(fit.intercept for fit in fitted_lines),
        statistics.median(fitted_slopes),
        min(fitted_slopes),
        max(fitted_slopes),
        tuple((s, statistics.median(v)) for s, v in values_by_size.items()),
    )
