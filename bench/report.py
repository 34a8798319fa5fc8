"""The report of a bench run: JSON, Markdown and plots."""

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
class Measured:
    """One setup's phases and the verdicts on them; none for a baseline."""

    deployment: str
    setup: str
    phases: dict[str, summary.PhaseFigures]
    verdicts: list[targets.Verdict]


def write(folder: pathlib.Path, found: list[Measured], seed: int) -> None:
    """Writes `report.json`, `report.md` and a plot for each deployment."""
    folder.mkdir(parents=True, exist_ok=True)
    plain = [dataclasses.asdict(measured) for measured in found]
    (folder / "report.json").write_text(json.dumps(plain, indent=1))
    lines = [f"# Bench, seed {seed}", ""]
    for measured in found:
        lines += _section(measured)
    for deployment in sorted({m.deployment for m in found}):
        name = f"{deployment}.png"
        _plot(folder / name, [m for m in found if m.deployment == deployment])
        lines += [f"![{deployment}]({name})", ""]
    (folder / "report.md").write_text("\n".join(lines))


def _section(measured: Measured) -> list[str]:
    lines = [f"## {measured.deployment}, {measured.setup}", ""]
    if measured.verdicts:
        lines += ["| target | measured | bound | |", "|---|---|---|---|"]
        lines += [
            f"| {v.name} | {v.measured:.3f} | {v.bound:.2f} | {v.word} |"
            for v in measured.verdicts
        ]
        lines.append("")
    lines += [
        "| phase | rank | offered/s | served/s | in target | p50 ms | p99 ms "
        "| outcomes |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for phase, figures in measured.phases.items():
        lines += _phase_rows(phase, figures)
    lines += [
        "",
        "| phase | token reads | age reads | write gap s | goodput/s |",
    ]
    lines.append("|---|---|---|---|---|")
    for phase, figures in measured.phases.items():
        token = "{}/{}".format(*figures.token_reads)
        age = "{}/{}".format(*figures.age_reads)
        gap = f"{figures.write_gap_s:.2f}"
        goodput = f"{figures.goodput:.1f}"
        lines.append(f"| {phase} | {token} | {age} | {gap} | {goodput} |")
    return [*lines, ""]


def _phase_rows(phase: str, figures: summary.PhaseFigures) -> list[str]:
    rows = []
    for name, rank in figures.ranks.items():
        outcomes = ", ".join(f"{k} {v}" for k, v in rank.outcomes.items())
        rows.append(
            f"| {phase} | {name} | {rank.offered_rate:.1f} "
            f"| {rank.served_rate:.1f} | {rank.in_target_share:.3f} "
            f"| {rank.p50_s * 1000:.0f} | {rank.p99_s * 1000:.0f} "
            f"| {outcomes} |"
        )
    return rows


def _plot(path: pathlib.Path, found: list[Measured]) -> None:
    figure, axes = pyplot.subplots(len(found), 1, figsize=(9, 3 * len(found)))
    for axis, measured in zip(_as_list(axes), found, strict=True):
        names = list(measured.phases)
        ranks = list(next(iter(measured.phases.values())).ranks)
        width = 0.8 / len(ranks)
        for number, rank in enumerate(ranks):
            heights = [
                measured.phases[name].ranks[rank].in_target_share
                for name in names
            ]
            places = [n + number * width for n in range(len(names))]
            axis.bar(places, heights, width, label=rank)
        axis.set_xticks(range(len(names)), names)
        axis.set_ylabel("in target / offered")
        axis.set_title(f"{measured.deployment}, {measured.setup}")
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _as_list(axes: object) -> list[pyplot.Axes]:
    return list(axes) if hasattr(axes, "__len__") else [axes]
