"""The stored linear fits of a measurement run, and costs computed from them."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from capacity import slopes

if TYPE_CHECKING:
    import pathlib


class MeasuredCosts:
    """The linear fits of one run, looked up by measurement and quantity."""

    def __init__(self, fits: dict[str, list[slopes.LinearFit]]) -> None:
        self.fits_by_measurement = fits

    def find_fit(self, measurement: str, quantity: str) -> slopes.LinearFit:
        """Returns the linear fit of one quantity.

        Raises:
          LookupError: if the run has no such measurement or quantity.
        """
        for fit in self.fits_by_measurement[measurement]:
            if fit.quantity == quantity:
                return fit
        raise LookupError(f"no fit of {quantity!r} in {measurement!r}")

    def marginal_cost(self, measurement: str, quantity: str) -> float:
        """Returns the cost of one more unit; a negative slope counts as 0."""
        return max(self.find_fit(measurement, quantity).slope, 0.0)

    def cost_at(self, measurement: str, quantity: str, size: float) -> float:
        """Returns the fitted cost at `size`; a negative term counts as 0."""
        fit = self.find_fit(measurement, quantity)
        return max(fit.base, 0.0) + max(fit.slope, 0.0) * size

    def cost_at_smallest_size(self, measurement: str, quantity: str) -> float:
        """Returns the median cost at the smallest measured size."""
        return self.find_fit(measurement, quantity).points[0][1]


def load(path: pathlib.Path) -> MeasuredCosts:
    """Returns the measured costs stored in the JSON file at `path`."""
    document = json.loads(path.read_text(encoding="utf-8"))
    return MeasuredCosts(
        {
            measurement: [_parse_fit(entry) for entry in entries]
            for measurement, entries in document.items()
        }
    )


def _parse_fit(entry: dict[str, Any]) -> slopes.LinearFit:
    points = tuple((size, value) for size, value in entry["points"])
    return slopes.LinearFit(**{**entry, "points": points})
