"""Metrics: counters, and histograms of latency by rank and outcome."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from hdrh import histogram

from fescueshunt.core import process, statements

if TYPE_CHECKING:
    from fescueshunt.request import items

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
# Two digits give a resolution of 1 %; three take seven times the memory.
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
PERCENTILES = (50.0, 90.0, 99.0, 100.0)
COLUMNS = ("name", "count", "p50", "p90", "p99", "max")


class Metrics:
    """Counters and latency histograms.

    Attributes:
      counters: the value of each counter by name.
      latencies: the histogram of each latency by name, in microseconds.
    """

    def __init__(self) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self.latencies: dict[str, histogram.HdrHistogram] = {}

    def record_answer(self, item: items.Answered) -> None:
        """Records the outcome, the error code and the latency of an answer."""
        outcome = item.answer.outcome.value
        name = f"{item.rank or 'none'}.{outcome}"
        self.counters[f"requests.{name}"] += 1
        if item.answer.error is not None:
            self.counters[f"errors.{item.answer.error.code}"] += 1
        self.record(name, item.latency_s)

    def record(self, name: str, latency_s: float) -> None:
        """Records a latency, clamped to the range of the histogram."""
        if name not in self.latencies:
            self.latencies[name] = histogram.HdrHistogram(
                MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
        latency_us = int(latency_s * US_PER_S)
        clamped_us = min(max(latency_us, MIN_LATENCY_US), MAX_LATENCY_US)
        self.latencies[name].record_value(clamped_us)

    def count_failed_item(self, item: process.ItemFailed) -> None:
        """Counts an item that was dropped because of an exception."""
        self.counters[f"items_failed.{item.error}"] += 1

    def table(self) -> statements.Table:
        """Returns a table of all counters and of percentiles of latencies."""
        counters = (
            (name, count, *(None,) * len(PERCENTILES))
            for name, count in sorted(self.counters.items())
        )
        latencies = (
            (
                f"latency_us.{name}",
                latency_histogram.get_total_count(),
                *_percentiles(latency_histogram),
            )
            for name, latency_histogram in sorted(self.latencies.items())
        )
        return statements.Table(COLUMNS, (*counters, *latencies))


def _percentiles(latency_histogram: histogram.HdrHistogram) -> tuple[int, ...]:
    return tuple(
        latency_histogram.get_value_at_percentile(percentile)
        for percentile in PERCENTILES
    )
