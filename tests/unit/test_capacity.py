"""The capacity measurements still drive the code, and fit what they read."""

import pytest
from capacity import budget, decisions, frames, slopes

SIZE = 3


class Doubling(slopes.Measure):
    name = "doubling"
    per = "unit"
    sizes = (1, 2, 4)

    def __init__(self):
        self.rounds = 0

    def take(self, size):
        self.rounds += size == self.sizes[0]
        yield slopes.Reading("cost", "us", size, 5 + 2 * size * self.rounds)


def test_fits_a_line_for_each_repeat():
    (found,) = slopes.run(Doubling())
    assert found.base == pytest.approx(5)
    assert (found.lowest, found.slope, found.highest) == pytest.approx(
        (2, 4, 6)
    )
    assert found.points[0] == (1, 9)


@pytest.mark.parametrize("measure", (*decisions.ALL, *frames.ALL))
def test_measurement_reads_something(measure):
    readings = list(measure().take(SIZE))
    assert readings
    assert all(r.size == SIZE and r.value >= 0 for r in readings)


@pytest.mark.parametrize(
    ("needed", "allowed", "verdict"),
    [(1.0, 1.0, "met"), (1.1, 1.0, "short"), (9.0, None, "no bound")],
)
def test_verdict(needed, allowed, verdict):
    line = budget.Line("entry", "x", "1 x 1", needed, "MB", allowed, "y")
    assert line.verdict == verdict
