"""Performance targets, and the check of measured metrics against them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench import summary
    from fescueshunt.core import document, ranks

FLOOD_PHASES = ("flood-low", "flood-urgent", "flood-both")
PEAK_PHASE_BY_FLOOD = {
    "flood-low": "peak",
    "flood-urgent": "peak-urgent",
    "flood-both": "peak-urgent",
}
MIN_TOKEN_READ_SHARE_CALM = 0.85
MIN_TOKEN_READ_SHARE_LAG = 0.60
MIN_AGE_READ_SHARE = 0.98
MIN_URGENT_IN_TARGET_SHARE = 0.99
MIN_SHARE_OF_FLOOR = 0.90
MIN_SHARE_OF_PEAK_GOODPUT = 0.90
MS_PER_S = 1000

MetricsByPhase = dict[str, "summary.PhaseMetrics"]


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The measured value of one target and its lower bound."""

    name: str
    measured: float
    bound: float

    @property
    def outcome(self) -> str:
        """The word "pass" if the bound is reached, otherwise "short"."""
        return "pass" if self.measured >= self.bound else "short"


def check(
    phases: MetricsByPhase, settings: document.Document, statement_ms: float
) -> list[Verdict]:
    """Returns a verdict on each target whose phases were measured.

    `statement_ms` is the service time of a statement in milliseconds.
    """
    verdicts = list(_check_replica_reads(phases))
    ranks = sorted(settings.ranks, key=lambda rank: rank.order)
    if "flood-low" in phases:
        urgent = phases["flood-low"].ranks[ranks[0].name]
        verdicts.append(
            Verdict(
                "urgent within target, flood of the lowest",
                urgent.in_target_share,
                MIN_URGENT_IN_TARGET_SHARE,
            )
        )
    statements_per_s = _compute_capacity(settings, statement_ms)
    verdicts.extend(_check_floors(phases, ranks[1:], statements_per_s))
    verdicts.extend(_check_goodput(phases))
    violations = sum(metrics.violations for metrics in phases.values())
    verdicts.append(Verdict("no read misses its write", -violations, 0))
    return verdicts


def _check_replica_reads(phases: MetricsByPhase) -> Iterator[Verdict]:
    bounds = {
        "calm": MIN_TOKEN_READ_SHARE_CALM,
        "lag": MIN_TOKEN_READ_SHARE_LAG,
    }
    for phase, bound in bounds.items():
        if phase in phases:
            served, total = phases[phase].token_reads
            share = served / max(total, 1)
            yield Verdict(f"token reads on replicas, {phase}", share, bound)
    if "calm" in phases:
        served, total = phases["calm"].age_reads
        share = served / max(total, 1)
        yield Verdict("age reads on replicas, calm", share, MIN_AGE_READ_SHARE)


def _check_floors(
    phases: MetricsByPhase,
    lower_ranks: list[ranks.Rank],
    statements_per_s: float,
) -> Iterator[Verdict]:
    for phase in FLOOD_PHASES:
        if phase not in phases:
            continue
        for rank in lower_ranks:
            metrics = phases[phase].ranks[rank.name]
            guaranteed_rate = min(
                metrics.offered_rate, rank.floor * statements_per_s
            )
            share = (
                metrics.served_rate / guaranteed_rate
                if guaranteed_rate
                else 1.0
            )
            yield Verdict(
                f"{rank.name} of its floor, {phase}", share, MIN_SHARE_OF_FLOOR
            )


def _check_goodput(phases: MetricsByPhase) -> Iterator[Verdict]:
    for flood, peak in PEAK_PHASE_BY_FLOOD.items():
        if flood in phases and peak in phases:
            peak_goodput = max(phases[peak].goodput, phases[flood].goodput)
            share = (
                phases[flood].goodput / peak_goodput if peak_goodput else 1.0
            )
            yield Verdict(
                f"goodput of its peak, {flood}",
                share,
                MIN_SHARE_OF_PEAK_GOODPUT,
            )


def _compute_capacity(
    settings: document.Document, statement_ms: float
) -> float:
    """Returns the statements per second that all slots together can run."""
    slots = sum(
        settings.group(d.group).slots * len(d.upstreams)
        for d in settings.databases
    )
    return slots * MS_PER_S / statement_ms
