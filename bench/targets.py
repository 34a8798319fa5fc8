"""The targets: each is met or missed by what was measured."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench import summary
    from fescueshunt.core import document, ranks

FLOODS = ("flood-low", "flood-urgent", "flood-both")
PEAKS = {
    "flood-low": "peak",
    "flood-urgent": "peak-urgent",
    "flood-both": "peak-urgent",
}
TOKEN_READS_CALM = 0.85
TOKEN_READS_LAG = 0.60
AGE_READS = 0.98
URGENT_IN_FLOOD = 0.99
FLOOR_KEPT = 0.90
GOODPUT_KEPT = 0.90
MS_PER_S = 1000

Phases = dict[str, "summary.PhaseFigures"]


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """One target: what was measured and what it must be at least."""

    name: str
    measured: float
    bound: float

    @property
    def word(self) -> str:
        """Pass or short."""
        return "pass" if self.measured >= self.bound else "short"


def check(
    phases: Phases, declared: document.Document, statement_ms: float
) -> list[Verdict]:
    """Returns a verdict on each target that `phases` has figures for."""
    verdicts = list(_reads(phases))
    ranks = sorted(declared.ranks, key=lambda rank: rank.order)
    if "flood-low" in phases:
        urgent = phases["flood-low"].ranks[ranks[0].name]
        verdicts.append(
            Verdict(
                "urgent within target, flood of the lowest",
                urgent.in_target_share,
                URGENT_IN_FLOOD,
            )
        )
    capacity = _capacity(declared, statement_ms)
    verdicts.extend(_floors(phases, ranks[1:], capacity))
    verdicts.extend(_goodput(phases))
    violations = sum(figures.violations for figures in phases.values())
    verdicts.append(Verdict("no read misses its write", -violations, 0))
    return verdicts


def _reads(phases: Phases) -> Iterator[Verdict]:
    bounds = {"calm": TOKEN_READS_CALM, "lag": TOKEN_READS_LAG}
    for phase, bound in bounds.items():
        if phase in phases:
            served, total = phases[phase].token_reads
            share = served / max(total, 1)
            yield Verdict(f"token reads on replicas, {phase}", share, bound)
    if "calm" in phases:
        served, total = phases["calm"].age_reads
        share = served / max(total, 1)
        yield Verdict("age reads on replicas, calm", share, AGE_READS)


def _floors(
    phases: Phases, lower: list[ranks.Rank], capacity: float
) -> Iterator[Verdict]:
    for phase in FLOODS:
        if phase not in phases:
            continue
        for rank in lower:
            figures = phases[phase].ranks[rank.name]
            owed = min(figures.offered_rate, rank.floor * capacity)
            kept = figures.served_rate / owed if owed else 1.0
            yield Verdict(
                f"{rank.name} of its floor, {phase}", kept, FLOOR_KEPT
            )


def _goodput(phases: Phases) -> Iterator[Verdict]:
    for flood, peak in PEAKS.items():
        if flood in phases and peak in phases:
            best = max(phases[peak].goodput, phases[flood].goodput)
            kept = phases[flood].goodput / best if best else 1.0
            yield Verdict(f"goodput of its peak, {flood}", kept, GOODPUT_KEPT)


def _capacity(declared: document.Document, statement_ms: float) -> float:
    """Returns how many statements a second all slots run."""
    slots = sum(
        declared.group(d.group).slots * len(d.upstreams)
        for d in declared.databases
    )
    return slots * MS_PER_S / statement_ms
