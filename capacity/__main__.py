"""The command line: runs measurements and prints their slopes."""

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

MEASURES = {
    measure.name: measure
    for measure in (*decisions.ALL, *frames.ALL, *processes.ALL)
}
HEADERS = ("quantity", "unit", "base", "slope", "lowest", "highest", "points")


def main(*names: str, json_file: str = "") -> int:
    """Prints a table of slopes for each measurement.

    Args:
      names: which measurements; all of them where none is named.
      json_file: where the slopes go as JSON, beside those of other
        measurements that it has; empty for nowhere.
    """
    unknown = [name for name in names if name not in MEASURES]
    if unknown:
        print(f"unknown: {unknown}; known: {[*MEASURES]}", file=sys.stderr)
        return 2
    for name in names or MEASURES:
        found = list(_show(name))
        if json_file:
            _store(pathlib.Path(json_file), name, found)
    return 0


def _store(path: pathlib.Path, name: str, found: list[slopes.Slope]) -> None:
    """Puts the slopes of one measurement into the JSON file at `path`."""
    plain = json.loads(path.read_text()) if path.exists() else {}
    plain[name] = [dataclasses.asdict(slope) for slope in found]
    path.write_text(json.dumps(plain, indent=1) + "\n")


def _show(name: str) -> Iterator[slopes.Slope]:
    measure = MEASURES[name]()
    found = list(slopes.run(measure))
    print(f"\n{name}: for one more {measure.per}, {measure.repeats} repeats")
    print(tabulate.tabulate([_row(slope) for slope in found], HEADERS))
    sys.stdout.flush()
    yield from found


def _row(slope: slopes.Slope) -> tuple[str, ...]:
    points = " ".join(f"{size}:{value:.4g}" for size, value in slope.points)
    return (
        slope.quantity,
        slope.unit,
        f"{slope.base:.4g}",
        f"{slope.slope:.4g}",
        f"{slope.lowest:.4g}",
        f"{slope.highest:.4g}",
        points,
    )


if __name__ == "__main__":
    sys.exit(defopt.run(main))
