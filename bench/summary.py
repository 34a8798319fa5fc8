"""Figures of a phase: what each rank was offered and what it got."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from hdrh import histogram

from fescueshunt.core import ranks, request

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fescueshunt.core import document
    from fescueshunt_cli._internal.bench import plan, samples

RAMP_S = 1.0
US_PER_S = 1_000_000
HIGHEST_US = 120_000_000
STATEMENTS = {request.Kind.READ: 1, request.Kind.WRITE: 2}


@dataclasses.dataclass(slots=True)
class RankFigures:
    """What one rank got; rates in statements a second, latencies in seconds.

    `offered` and `in_target` count the requests that were due in the counted
    time, served and goodput rates those that were answered in it.
    """

    offered: int = 0
    in_target: int = 0
    offered_rate: float = 0.0
    served_rate: float = 0.0
    goodput_rate: float = 0.0
    p50_s: float = 0.0
    p99_s: float = 0.0
    outcomes: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def in_target_share(self) -> float:
        """The share of the offered requests answered within the target."""
        return self.in_target / self.offered if self.offered else 1.0


@dataclasses.dataclass(slots=True)
class PhaseFigures:
    """What a phase measured.

    `token_reads` and `age_reads` are (served by replicas, served).
    """

    ranks: dict[str, RankFigures]
    token_reads: tuple[int, int]
    age_reads: tuple[int, int]
    violations: int
    write_gap_s: float

    @property
    def goodput(self) -> float:
        """Statements a second that were answered within their target."""
        return sum(rank.goodput_rate for rank in self.ranks.values())


def summarize(
    found: Iterable[samples.Sample],
    planned: plan.Plan,
    phase: str,
    declared: document.Document,
) -> PhaseFigures:
    """Returns the figures of `phase`, without its first RAMP_S seconds."""
    found = list(found)
    counted = [s for s in found if s.due_s >= RAMP_S]
    seconds = planned.phases[phase].seconds
    ranks = {
        rank.name: _rank_figures(found, planned, declared, rank, seconds)
        for rank in sorted(declared.ranks, key=lambda r: r.order)
    }
    reads = [
        s
        for s in counted
        if s.done and planned.streams[s.stream].kind is request.Kind.READ
    ]
    aged = {
        name
        for name, stream in planned.streams.items()
        if declared.service(stream.service).max_age_s is not None
    }
    return PhaseFigures(
        ranks,
        _replica_share(
            s for s in reads if s.stream not in aged and s.has_token
        ),
        _replica_share(s for s in reads if s.stream in aged),
        sum(s.missed_own_write for s in counted),
        _write_gap_s(counted, planned, phase),
    )


def _rank_figures(
    found: list[samples.Sample],
    planned: plan.Plan,
    declared: document.Document,
    rank: ranks.Rank,
    seconds: float,
) -> RankFigures:
    figures = RankFigures()
    outcomes: collections.Counter[str] = collections.Counter()
    measured = histogram.HdrHistogram(1, HIGHEST_US, 3)
    for sample in found:
        stream = planned.streams[sample.stream]
        if declared.service(stream.service).rank != rank.name:
            continue
        weight = STATEMENTS[stream.kind] / (seconds - RAMP_S)
        in_target = sample.done and sample.latency_s <= rank.target_s
        if sample.due_s >= RAMP_S:
            outcomes[sample.code] += 1
            figures.offered += 1
            figures.offered_rate += weight
            figures.in_target += in_target
        if sample.done and sample.due_s >= RAMP_S:
            measured.record_value(int(sample.latency_s * US_PER_S) or 1)
        if sample.done and RAMP_S <= sample.due_s + sample.latency_s < seconds:
            figures.served_rate += weight
            figures.goodput_rate += weight * in_target
    figures.outcomes = dict(sorted(outcomes.items()))
    figures.p50_s = measured.get_value_at_percentile(50) / US_PER_S
    figures.p99_s = measured.get_value_at_percentile(99) / US_PER_S
    return figures


def _replica_share(found: Iterable[samples.Sample]) -> tuple[int, int]:
    served = [s.from_replica for s in found]
    return sum(served), len(served)


def _write_gap_s(
    counted: list[samples.Sample], planned: plan.Plan, phase: str
) -> float:
    """Returns the longest time in which no write was answered; seconds."""
    ends = sorted(
        s.due_s + s.latency_s
        for s in counted
        if s.done and planned.streams[s.stream].kind is request.Kind.WRITE
    )
    edges = [RAMP_S, *ends, planned.phases[phase].seconds]
    gaps = (b - a for a, b in zip(edges, edges[1:], strict=False))
    return max(gaps)
