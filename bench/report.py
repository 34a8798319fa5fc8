"""Writes the report of a benchmark run as JSON, Markdown and plots."""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING

import matplotlib as mpl

mpl.use("Agg")
from matplotlib import pyplot  # noqa: E402

if TYPE_CHECKING:
    import pathlib

    from bench import summary, targets


@dataclasses.dataclass(frozen=True, slots=True)
class SetupResult:
    """The metrics of one setup by phase, and the verdicts on its targets.

    The list of verdicts is empty for a baseline.
    """

    deployment: str
    setup: str
    phases: dict[str, summary.PhaseMetrics]
    verdicts: list[targets.Verdict]


def write(folder: pathlib.Path, results: list[SetupResult], seed: int) -> None:
    """Writes `report.json`, `report.md` and a plot for each deployment."""
    folder.mkdir(parents=True, exist_ok=True)
    document = [dataclasses.asdict(result) for result in results]
    (folder / "report.json").write_text(json.dumps(document, indent=1))
    lines = [f"# Bench, seed {seed}", ""]
    for result in results:
        lines += _format_section(result)
    for deployment in sorted({r.deployment for r in results}):
        name = f"{deployment}.png"
        _plot(
            folder / name,
            [r for r in results if r.deployment == deployment],
        )
        lines += [f"![{deployment}]({name})", ""]
    (folder / "report.md").write_text("\n".join(lines))


def _format_section(result: SetupResult) -> list[str]:
    lines = [f"## {result.deployment}, {result.setup}", ""]
    if result.verdicts:
        lines += ["| target | measured | bound | |", "|---|---|---|---|"]
        lines += [
            f"| {v.name} | {v.measured:.3f} | {v.bound:.2f} | {v.outcome} |"
            for v in result.verdicts
        ]
        lines.append("")
    lines += [
        "| phase | rank | offered/s | served/s | in target | p50 ms | p99 ms "
        "| outcomes |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for phase, phase_metrics in result.phases.items():
        lines += _format_phase_rows(phase, phase_metrics)
    lines += [
        "",
        "| phase | token reads | age reads | write gap s | goodput/s |",
    ]
    lines.append("|---|---|---|---|---|")
    for phase, phase_metrics in result.phases.items():
        token = "{}/{}".format(*phase_metrics.token_reads)
        age = "{}/{}".format(*phase_metrics.age_reads)
        gap = f"{phase_metrics.write_gap_s:.2f}"
        goodput = f"{phase_metrics.goodput:.1f}"
        lines.append(f"| {phase} | {token} | {age} | {gap} | {goodput} |")
    return [*lines, ""]


def _format_phase_rows(
    phase: str, phase_metrics: summary.PhaseMetrics
) -> list[str]:
    rows = []
    for name, rank in phase_metrics.ranks.items():
        outcomes = ", ".join(f"{k} {v}" for k, v in rank.outcomes.items())
        rows.append(
            f"| {phase} | {name} | {rank.offered_rate:.1f} "
            f"| {rank.served_rate:.1f} | {rank.in_target_share:.3f} "
            f"| {rank.p50_s * 1000:.0f} | {rank.p99_s * 1000:.0f} "
            f"| {outcomes} |"
        )
    return rows


def _plot(path: pathlib.Path, results: list[SetupResult]) -> None:
    figure, axes = pyplot.subplots(
        len(results), 1, figsize=(9, 3 * len(results))
    )
    for axis, result in zip(_as_list(axes), results, strict=True):
        names = list(result.phases)
        ranks = list(next(iter(result.phases.values())).ranks)
        bar_width = 0.8 / len(ranks)
        for number, rank in enumerate(ranks):
            heights = [
                result.phases[name].ranks[rank].in_target_share
                for name in names
            ]
            bar_positions = [n + number * bar_width for n in range(len(names))]
            axis.bar(bar_positions, heights, bar_width, label=rank)
        axis.set_xticks(range(len(names)), names)
        axis.set_ylabel("in target / offered")
        axis.set_title(f"{result.deployment}, {result.setup}")
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _as_list(axes: object) -> list[pyplot.Axes]:
    return list(axes) if hasattr(axes, "__len__") else [axes]
