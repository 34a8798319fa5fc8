"""Metrics: counters, and latencies per rank and outcome."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from hdrh import histogram

from fescueshunt.core import process, statements

if TYPE_CHECKING:
    from fescueshunt.request import items

LOWEST_US = 1
HIGHEST_US = 120_000_000
# One part in a hundred; a third digit would take seven times the memory.
DIGITS = 2
US_PER_S = 1_000_000
PERCENTILES = (50.0, 90.0, 99.0, 100.0)
COLUMNS = ("name", "count", "p50", "p90", "p99", "max")


class Metrics:
    """Counts what ends, and records how long it took; microseconds."""

    def __init__(self) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self.latencies: dict[str, histogram.HdrHistogram] = {}

    def finished(self, item: items.Answered) -> None:
        """Records the end of a piece of work."""
        outcome = item.answer.outcome.value
        name = f"{item.rank or 'none'}.{outcome}"
        self.counters[f"requests.{name}"] += 1
        if item.answer.error is not None:
            self.counters[f"errors.{item.answer.error.code}"] += 1
        self.record(name, item.latency_s)

    def record(self, name: str, latency_s: float) -> None:
        """Records a latency; what is beyond the bounds counts as the bound."""
        if name not in self.latencies:
            self.latencies[name] = histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, DIGITS
            )
        latency_us = int(latency_s * US_PER_S)
        bounded_us = min(max(latency_us, LOWEST_US), HIGHEST_US)
        self.latencies[name].record_value(bounded_us)

    def item_failed(self, item: process.ItemFailed) -> None:
        """Counts an item that was dropped."""
        self.counters[f"items_failed.{item.error}"] += 1

    def table(self) -> statements.Table:
        """Returns every counter, and quantiles of every latency."""
        counters = (
            (name, count, *(None,) * len(PERCENTILES))
            for name, count in sorted(self.counters.items())
        )
        latencies = (
            (f"latency_us.{name}", seen.get_total_count(), *_quantiles(seen))
            for name, seen in sorted(self.latencies.items())
        )
        return statements.Table(COLUMNS, (*counters, *latencies))


def _quantiles(seen: histogram.HdrHistogram) -> tuple[int, ...]:
    return tuple(seen.get_value_at_percentile(p) for p in PERCENTILES)
