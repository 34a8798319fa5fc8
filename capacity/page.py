"""Writes the tables of a measurement run into docs/CAPACITY.md.

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
MIN_WHOLE_NUMBER = 100
SECTION_TEMPLATE = (
    "<!-- {0}: by python -m capacity.page -->\n{1}\n<!-- end {0} -->"
)


def main() -> None:
    """Replaces the tables of the page by those of the stored run."""
    text = PAGE.read_text(encoding="utf-8")
    for name, table in tables(figures.load(MEASURED)).items():
        section = SECTION_TEMPLATE.format(name, table)
        text = re.sub(
            _section_pattern(name),
            lambda _, replacement=section: replacement,
            text,
        )
    PAGE.write_text(text, encoding="utf-8")


def tables(costs: figures.MeasuredCosts) -> dict[str, str]:
    """Returns the Markdown tables, keyed by the name of their section."""
    lines = list(budget.compute_lines(costs))
    return {
        "slopes": "\n".join(_fit_rows(costs)),
        "budgets": "\n".join(_budget_rows(lines)),
    }


def _section_pattern(name: str) -> re.Pattern[str]:
    start, end = re.escape(f"<!-- {name}:"), re.escape(f"<!-- end {name} -->")
    return re.compile(f"{start}.*?{end}", re.DOTALL)


def _fit_rows(costs: figures.MeasuredCosts) -> Iterator[str]:
    yield (
        "| command `python -m capacity ...` | quantity | at size 0 "
        "| for one more | lowest to highest |"
    )
    yield "|---|---|---|---|---|"
    for name, fits in costs.fits_by_measurement.items():
        for fit in fits:
            yield (
                f"| `{name}` | {fit.quantity} | {fit.base:.4g} {fit.unit} "
                f"| {fit.slope:.4g} {fit.unit} for a {fit.per} "
                f"| {fit.lowest:.4g} to {fit.highest:.4g} |"
            )


def _budget_rows(lines: Iterable[budget.BudgetLine]) -> Iterator[str]:
    yield "| role | what | worked out as | needed | allowed | | carried by |"
    yield "|---|---|---|---|---|---|---|"
    for line in lines:
        limit = "-" if line.limit is None else _format_number(line.limit)
        yield (
            f"| {line.role} | {line.resource} | {line.calculation} "
            f"| {_format_number(line.demand)} {line.unit} | {limit} "
            f"| {line.verdict} | {line.component} |"
        )


def _format_number(value: float) -> str:
    """Formats with 3 significant digits, or as a whole number from 100 on."""
    return f"{value:,.0f}" if value >= MIN_WHOLE_NUMBER else f"{value:.3g}"


if __name__ == "__main__":
    main()
