"""Tests that capacity measurements yield readings and fit lines to them."""

import pytest
from capacity import budget, decisions, frames, slopes

SIZE = 3


class DoublingMeasurement(slopes.Measurement):
    name = "doubling"
    per = "unit"
    sizes = (1, 2, 4)

    def __init__(self):
        self.repetitions = 0

    def measure_at(self, size):
        self.repetitions += size == self.sizes[0]
        yield slopes.Reading(
            "cost", "us", size, 5 + 2 * size * self.repetitions
        )


def test_fits_a_line_for_each_repetition():
    (fit,) = slopes.run_measurement(DoublingMeasurement())
    assert fit.base == pytest.approx(5)
    assert (fit.lowest, fit.slope, fit.highest) == pytest.approx((2, 4, 6))
    assert fit.points[0] == (1, 9)


@pytest.mark.parametrize("measurement", (*decisions.ALL, *frames.ALL))
def test_measurement_yields_readings(measurement):
    readings = list(measurement().measure_at(SIZE))
    assert readings
    assert all(r.size == SIZE and r.value >= 0 for r in readings)


@pytest.mark.parametrize(
    ("demand", "limit", "verdict"),
    [(1.0, 1.0, "met"), (1.1, 1.0, "short"), (9.0, None, "no bound")],
)
def test_verdict(demand, limit, verdict):
    line = budget.BudgetLine("entry", "x", "1 x 1", demand, "MB", limit, "y")
    assert line.verdict == verdict
