"""Tests that the runtime keeps running after an item raised an exception."""

import asyncio
import dataclasses

import pytest
import structlog

from fescueshunt.core import filters, process
from fescueshunt_proxy._internal import metrics, runtime


@dataclasses.dataclass(frozen=True, slots=True)
class Divided(filters.Item):
    """The effect of `Divide`."""

    quotient: float


class Divide(filters.Filter):
    """Divides 1 by `wall_s`; raises ZeroDivisionError if it is 0."""

    def process(self, item):
        yield Divided(item.at, 1 / item.wall_s)


def run(wall_times, sink_fails=False):
    """Feeds a tick for each wall time; returns the quotients and counters."""
    quotients = []
    proxy_metrics = metrics.Metrics()

    def sink(item):
        quotients.append(item.quotient)
        if sink_fails:
            raise KeyError("sink")

    async def feed():
        pipe = filters.Pipe((Divide(),), (filters.Tick,))
        core_runtime = runtime.Runtime(filters.Core((pipe,)))
        core_runtime.subscribe(
            process.ItemFailed, proxy_metrics.count_failed_item
        )
        core_runtime.subscribe(Divided, sink)
        for wall_s in wall_times:
            core_runtime.feed(filters.Tick(0.0, wall_s))

    asyncio.run(feed())
    return quotients, dict(proxy_metrics.counters)


def test_next_item_is_processed_after_filter_raises():
    quotients, counters = run([1.0, 0.0, 2.0])
    assert quotients == [1.0, 0.5]
    assert counters == {"items_failed.ZeroDivisionError": 1}


def test_next_item_is_processed_after_sink_raises():
    quotients, counters = run([1.0, 2.0], sink_fails=True)
    assert quotients == [1.0, 0.5]
    assert counters == {"items_failed.KeyError": 2}


class _BrokenLogger:
    """A logger whose output has been closed."""

    def msg(self, message):
        raise BrokenPipeError

    error = msg


# Failure: a sink raises, the report of it can't be written, and the exception
# ends the task that fed the item, and with it the process.
def test_next_item_is_processed_after_report_cannot_be_written():
    structlog.configure(logger_factory=lambda *_: _BrokenLogger())
    try:
        quotients, counters = run([1.0, 0.0, 2.0], sink_fails=True)
    finally:
        structlog.reset_defaults()
    assert quotients == [1.0, 0.5]
    assert counters == {
        "items_failed.KeyError": 2,
        "items_failed.ZeroDivisionError": 1,
    }


class Raise(filters.Filter):
    """Raises KeyError at each item."""

    def process(self, item):
        raise KeyError("filter")
        yield item


class Answer(filters.Filter):
    """Answers each `Divided` with a `Divided` of quotient 0."""

    def process(self, item):
        yield Divided(item.at, 0.0) if item.quotient else item


# Guards against answers that are dropped because another filter raised an
# exception at an item that the core was fed at the same time.
@pytest.mark.parametrize("raises_at", [filters.Tick, Divided])
def test_other_pipes_go_on_with_an_item_after_filter_raises(raises_at):
    quotients = []

    async def feed():
        pipes = (
            filters.Pipe((Raise(),), (raises_at,)),
            filters.Pipe((Divide(),), (filters.Tick,)),
            filters.Pipe((Answer(),), (Divided,)),
        )
        core_runtime = runtime.Runtime(filters.Core(pipes))
        core_runtime.subscribe(
            Divided, lambda item: quotients.append(item.quotient)
        )
        core_runtime.feed(filters.Tick(0.0, 1.0))

    asyncio.run(feed())
    assert quotients == [1.0, 0.0]


@pytest.mark.parametrize("count", [1, 3])
def test_observers_are_called_before_sinks(count):
    calls = []

    async def feed():
        pipe = filters.Pipe((Divide(),), (filters.Tick,))
        core_runtime = runtime.Runtime(filters.Core((pipe,)))
        core_runtime.observe(lambda item: calls.append(("in", item.wall_s)))
        core_runtime.subscribe(
            Divided, lambda item: calls.append(("out", item.at))
        )
        for _ in range(count):
            core_runtime.feed(filters.Tick(0.0, 1.0))

    asyncio.run(feed())
    assert calls == [("in", 1.0), ("out", 0.0)] * count


# Failure: an upstream's reply arrives while a process ends, and an exception is
# reported because the tasks that its effects need can't be started any more.
def test_items_that_arrive_after_the_end_have_no_effect():
    proxy_metrics = metrics.Metrics()
    started = []

    async def run_task():
        started.append(True)

    async def run():
        pipe = filters.Pipe((Divide(),), (filters.Tick,))
        core_runtime = runtime.Runtime(filters.Core((pipe,)))
        core_runtime.subscribe(
            process.ItemFailed, proxy_metrics.count_failed_item
        )
        async with runtime.background_tasks() as tasks:
            core_runtime.subscribe(
                Divided, lambda _: tasks.create_task(run_task())
            )
            with core_runtime.closing():
                core_runtime.feed(filters.Tick(0.0, 1.0))
                await asyncio.sleep(0)
            core_runtime.feed(filters.Tick(0.0, 1.0))
        core_runtime.feed(filters.Tick(0.0, 1.0))

    asyncio.run(run())
    assert started == [True]
    assert dict(proxy_metrics.counters) == {}
