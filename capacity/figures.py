"""The slopes of a run, as the budget asks for them."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from capacity import slopes

if TYPE_CHECKING:
    import pathlib


class Measured:
    """The slopes of one run, by measurement and quantity."""

    def __init__(self, found: dict[str, list[slopes.Slope]]) -> None:
        self.found = found

    def find(self, name: str, quantity: str) -> slopes.Slope:
        """Returns one slope."""
        for slope in self.found[name]:
            if slope.quantity == quantity:
                return slope
        raise LookupError(f"{name}: {quantity}")

    def slope(self, name: str, quantity: str) -> float:
        """Returns what one more costs; negative noise counts as nothing."""
        return max(self.find(name, quantity).slope, 0.0)

    def at(self, name: str, quantity: str, size: float) -> float:
        """Returns the value of the line at `size`."""
        found = self.find(name, quantity)
        return max(found.base, 0.0) + max(found.slope, 0.0) * size

    def least(self, name: str, quantity: str) -> float:
        """Returns the value at the smallest size that was measured."""
        return self.find(name, quantity).points[0][1]


def load(path: pathlib.Path) -> Measured:
    """Returns the slopes in the JSON file at `path`."""
    plain = json.loads(path.read_text(encoding="utf-8"))
    return Measured(
        {
            name: [_slope(entry) for entry in rows]
            for name, rows in plain.items()
        }
    )


def _slope(entry: dict[str, Any]) -> slopes.Slope:
    points = tuple((size, value) for size, value in entry["points"])
    return slopes.Slope(**{**entry, "points": points})
