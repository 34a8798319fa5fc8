"""Tests of the runtime: an item that fails does not end the proxy."""

import asyncio
import dataclasses

import pytest

from fescueshunt.core import filters, process
from fescueshunt_proxy._internal import metrics, runtime


@dataclasses.dataclass(frozen=True, slots=True)
class Passed(filters.Item):
    """What `Divide` yields."""

    quotient: float


class Divide(filters.Filter):
    def process(self, item):
        yield Passed(item.at, 1 / item.wall_s)


def run(wall_times, broken_sink=False):
    """Feeds ticks; returns what came out and what was counted."""
    passed = []
    measured = metrics.Metrics()

    def sink(item):
        passed.append(item.quotient)
        if broken_sink:
            raise KeyError("sink")

    async def feed():
        pipe = filters.Pipe((Divide(),), (filters.Tick,))
        joined = runtime.Runtime(filters.Core((pipe,)))
        joined.subscribe(process.ItemFailed, measured.item_failed)
        joined.subscribe(Passed, sink)
        for wall_s in wall_times:
            joined.feed(filters.Tick(0.0, wall_s))

    asyncio.run(feed())
    return passed, dict(measured.counters)


def test_the_next_item_is_served_after_a_decision_failed():
    passed, counted = run([1.0, 0.0, 2.0])
    assert passed == [1.0, 0.5]
    assert counted == {"items_failed.ZeroDivisionError": 1}


def test_the_next_item_is_served_after_a_sink_failed():
    passed, counted = run([1.0, 2.0], broken_sink=True)
    assert passed == [1.0, 0.5]
    assert counted == {"items_failed.KeyError": 2}


@pytest.mark.parametrize("count", [1, 3])
def test_observers_see_items_first(count):
    seen = []

    async def feed():
        pipe = filters.Pipe((Divide(),), (filters.Tick,))
        joined = runtime.Runtime(filters.Core((pipe,)))
        joined.observe(lambda item: seen.append(("in", item.wall_s)))
        joined.subscribe(Passed, lambda item: seen.append(("out", item.at)))
        for _ in range(count):
            joined.feed(filters.Tick(0.0, 1.0))

    asyncio.run(feed())
    assert seen == [("in", 1.0), ("out", 0.0)] * count
