"""Puts the tables of a run into docs/CAPACITY.md.

Run as `python -m capacity.page` after `python -m capacity --json-file
capacity/measured.json`.
"""

from __future__ import annotations

import pathlib
import re
from typing import TYPE_CHECKING

from capacity import budget, figures

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

ROOT = pathlib.Path(__file__).resolve().parents[1]
MEASURED = ROOT / "capacity" / "measured.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
HUNDRED = 100
SECTION = "<!-- {0}: by python -m capacity.page -->\n{1}\n<!-- end {0} -->"


def main() -> None:
    """Writes the page with the tables of the newest run."""
    text = PAGE.read_text(encoding="utf-8")
    for name, table in tables(figures.load(MEASURED)).items():
        section = SECTION.format(name, table)
        text = re.sub(_pattern(name), lambda _, new=section: new, text)
    PAGE.write_text(text, encoding="utf-8")


def tables(measured: figures.Measured) -> dict[str, str]:
    """Returns the page's tables by the name of their section."""
    lines = list(budget.work_out(measured))
    return {
        "slopes": "\n".join(_slopes(measured)),
        "budgets": "\n".join(_budgets(lines)),
    }


def _pattern(name: str) -> re.Pattern[str]:
    start, end = re.escape(f"<!-- {name}:"), re.escape(f"<!-- end {name} -->")
    return re.compile(f"{start}.*?{end}", re.DOTALL)


def _slopes(measured: figures.Measured) -> Iterator[str]:
    yield (
        "| command `python -m capacity ...` | quantity | at size 0 "
        "| for one more | lowest to highest |"
    )
    yield "|---|---|---|---|---|"
    for name, found in measured.found.items():
        for s in found:
            yield (
                f"| `{name}` | {s.quantity} | {s.base:.4g} {s.unit} "
                f"| {s.slope:.4g} {s.unit} for a {s.per} "
                f"| {s.lowest:.4g} to {s.highest:.4g} |"
            )


def _budgets(lines: Iterable[budget.Line]) -> Iterator[str]:
    yield "| role | what | worked out as | needed | allowed | | carried by |"
    yield "|---|---|---|---|---|---|---|"
    for line in lines:
        allowed = "-" if line.allowed is None else _short(line.allowed)
        yield (
            f"| {line.role} | {line.what} | {line.sum} "
            f"| {_short(line.needed)} {line.unit} | {allowed} "
            f"| {line.verdict} | {line.mechanism} |"
        )


def _short(value: float) -> str:
    """Returns three digits, or all before the point."""
    return f"{value:,.0f}" if value >= HUNDRED else f"{value:.3g}"


if __name__ == "__main__":
    main()
