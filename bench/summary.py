"""Metrics of a phase: offered load, throughput and latency of each rank."""

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

RAMP_UP_S = 1.0
US_PER_S = 1_000_000
MAX_LATENCY_US = 120_000_000
STATEMENTS_PER_REQUEST = {request.Kind.READ: 1, request.Kind.WRITE: 2}


@dataclasses.dataclass(slots=True)
class RankMetrics:
    """Metrics of one rank.

    Rates are in statements per second, latencies in seconds. The ramp-up is
    not measured. `offered`, `offered_rate` and `in_target` cover the requests
    that were due in the measured time; `served_rate` and `goodput_rate` cover
    those that were answered in it.
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
        """The fraction of offered requests answered within their target."""
        return self.in_target / self.offered if self.offered else 1.0


@dataclasses.dataclass(slots=True)
class PhaseMetrics:
    """Metrics of one phase, by rank and over all requests.

    Attributes:
      ranks: the metrics of each rank, by name.
      token_reads: the number of reads with a token that replicas served, and
        the number that were served at all; without reads that have a maximum
        age.
      age_reads: the same two numbers for reads with a maximum age.
      violations: the number of requests that missed an acknowledged write of
        their own session.
      write_gap_s: the longest time without an answered write, in seconds.
    """

    ranks: dict[str, RankMetrics]
    token_reads: tuple[int, int]
    age_reads: tuple[int, int]
    violations: int
    write_gap_s: float

    @property
    def goodput(self) -> float:
        """Statements per second answered within their latency target."""
        return sum(rank.goodput_rate for rank in self.ranks.values())


def summarize(
    phase_samples: Iterable[samples.Sample],
    bench_plan: plan.Plan,
    phase: str,
    settings: document.Document,
) -> PhaseMetrics:
    """Returns the metrics of `phase` without its first RAMP_UP_S seconds."""
    phase_samples = list(phase_samples)
    samples_after_ramp_up = [s for s in phase_samples if s.due_s >= RAMP_UP_S]
    seconds = bench_plan.phases[phase].seconds
    ranks = {
        rank.name: _summarize_rank(
            phase_samples, bench_plan, settings, rank, seconds
        )
        for rank in sorted(settings.ranks, key=lambda r: r.order)
    }
    reads = [
        s
        for s in samples_after_ramp_up
        if s.done and bench_plan.streams[s.stream].kind is request.Kind.READ
    ]
    age_limited_streams = {
        name
        for name, stream in bench_plan.streams.items()
        if settings.service(stream.service).max_age_s is not None
    }
    return PhaseMetrics(
        ranks,
        _count_replica_reads(
            s
            for s in reads
            if s.stream not in age_limited_streams and s.has_token
        ),
        _count_replica_reads(
            s for s in reads if s.stream in age_limited_streams
        ),
        sum(s.missed_own_write for s in samples_after_ramp_up),
        _compute_write_gap_s(samples_after_ramp_up, bench_plan, phase),
    )


def _summarize_rank(
    phase_samples: list[samples.Sample],
    bench_plan: plan.Plan,
    settings: document.Document,
    rank: ranks.Rank,
    seconds: float,
) -> RankMetrics:
    metrics = RankMetrics()
    outcomes: collections.Counter[str] = collections.Counter()
    latency_histogram = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    for sample in phase_samples:
        stream = bench_plan.streams[sample.stream]
        if settings.service(stream.service).rank != rank.name:
            continue
        statement_rate = STATEMENTS_PER_REQUEST[stream.kind] / (
            seconds - RAMP_UP_S
        )
        in_target = sample.done and sample.latency_s <= rank.target_s
        if sample.due_s >= RAMP_UP_S:
            outcomes[sample.code] += 1
            metrics.offered += 1
            metrics.offered_rate += statement_rate
            metrics.in_target += in_target
        if sample.done and sample.due_s >= RAMP_UP_S:
            latency_histogram.record_value(
                int(sample.latency_s * US_PER_S) or 1
            )
        if (
            sample.done
            and RAMP_UP_S <= sample.due_s + sample.latency_s < seconds
        ):
            metrics.served_rate += statement_rate
            metrics.goodput_rate += statement_rate * in_target
    metrics.outcomes = dict(sorted(outcomes.items()))
    metrics.p50_s = latency_histogram.get_value_at_percentile(50) / US_PER_S
    metrics.p99_s = latency_histogram.get_value_at_percentile(99) / US_PER_S
    return metrics


def _count_replica_reads(
    reads: Iterable[samples.Sample],
) -> tuple[int, int]:
    from_replica = [s.from_replica for s in reads]
    return sum(from_replica), len(from_replica)


def _compute_write_gap_s(
    samples_after_ramp_up: list[samples.Sample],
    bench_plan: plan.Plan,
    phase: str,
) -> float:
    """Returns the longest time without an answered write, in seconds."""
    answered_at = sorted(
        s.due_s + s.latency_s
        for s in samples_after_ramp_up
        if s.done and bench_plan.streams[s.stream].kind is request.Kind.WRITE
    )
    boundaries = [RAMP_UP_S, *answered_at, bench_plan.phases[phase].seconds]
    gaps = (b - a for a, b in zip(boundaries, boundaries[1:], strict=False))
    return max(gaps)
