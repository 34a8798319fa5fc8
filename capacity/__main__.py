"""The command line that runs capacity measurements and prints the fits."""

from __future__ import annotations

import dataclasses
import json
import pathlib
import sys
from typing import TYPE_CHECKING

import defopt
import tabulate

from capacity import decisions, frames, processes, slopes

if TYPE_CHECKING:
    from collections.abc import Iterator

MEASUREMENTS = {
    measurement.name: measurement
    for measurement in (*decisions.ALL, *frames.ALL, *processes.ALL)
}
TABLE_HEADERS = (
    "quantity",
    "unit",
    "base",
    "slope",
    "lowest",
    "highest",
    "points",
)


def main(*names: str, json_file: str = "") -> int:
    """Runs measurements and prints a table of linear fits for each.

    Args:
      names: the measurements to run; all of them if no name is given.
      json_file: the JSON file in which the fits of these measurements are
        replaced; if empty, the fits are only printed.

    Returns:
      The exit status: 0, or 2 if a name is unknown.
    """
    unknown_names = [name for name in names if name not in MEASUREMENTS]
    if unknown_names:
        print(
            f"unknown measurements: {unknown_names}; known: {[*MEASUREMENTS]}",
            file=sys.stderr,
        )
        return 2
    for name in names or MEASUREMENTS:
        fits = list(_run_and_print(name))
        if json_file:
            _store_fits(pathlib.Path(json_file), name, fits)
    return 0


def _store_fits(
    path: pathlib.Path, name: str, fits: list[slopes.LinearFit]
) -> None:
    """Replaces the fits of one measurement in the JSON file at `path`."""
    document = json.loads(path.read_text()) if path.exists() else {}
    document[name] = [dataclasses.asdict(fit) for fit in fits]
    path.write_text(json.dumps(document, indent=1) + "\n")


def _run_and_print(name: str) -> Iterator[slopes.LinearFit]:
    measurement = MEASUREMENTS[name]()
    fits = list(slopes.run_measurement(measurement))
    print(
        f"\n{name}: cost of one more {measurement.per}, "
        f"{measurement.repeats} repetitions"
    )
    print(tabulate.tabulate([_format_row(fit) for fit in fits], TABLE_HEADERS))
    sys.stdout.flush()
    yield from fits


def _format_row(fit: slopes.LinearFit) -> tuple[str, ...]:
    points = " ".join(f"{size}:{value:.4g}" for size, value in fit.points)
    return (
        fit.quantity,
        fit.unit,
        f"{fit.base:.4g}",
        f"{fit.slope:.4g}",
        f"{fit.lowest:.4g}",
        f"{fit.highest:.4g}",
        points,
    )


if __name__ == "__main__":
    sys.exit(defopt.run(main))
