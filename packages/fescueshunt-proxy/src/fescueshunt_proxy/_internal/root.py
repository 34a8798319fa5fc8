"""The composition root of the proxy: wires every part, and only here."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from typing import TYPE_CHECKING

import structlog

from fescueshunt import proxy
from fescueshunt.core import identity, items, process, views
from fescueshunt.request import items as request_items
from fescueshunt.request import policies
from fescueshunt_proxy._internal import (
    access,
    admin,
    callers,
    clock,
    logs,
    metrics,
    peers,
    recording,
    runtime,
    settings,
    stores,
    tracing,
    upstreams,
    wired,
)
from fescueshunt_wire import codec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MS_PER_S = 1000
FLUSH_S = 0.1
SUCCESS = 0
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def run(cfg: settings.ProxySettings) -> int:
    """Runs a proxy until it is asked to stop; returns the exit code."""
    me = identity.Identity(
        cfg.name, cfg.zone, cfg.peers, int(time.time() * MS_PER_S)
    )
    logs.configure(me)
    logger = structlog.get_logger(__name__)
    joined = runtime.Runtime(
        proxy.build(
            me,
            codec.ResultCodec(),
            seeds=cfg.seeds,
            policy=policies.make_policy(cfg.pools, cfg.queues, cfg.reads),
        )
    )
    stopped = asyncio.Event()
    joined.subscribe(process.Stopped, lambda _: stopped.set())
    measured = _watch(joined)
    with (
        recording.recording(cfg.record_file, me, joined),
        tracing.tracing(cfg.trace_file, cfg.trace_share, me) as tracer,
    ):
        async with (
            runtime.background() as tasks,
            _border(cfg, me, joined, tasks, tracer, measured),
        ):
            logger.info("started", incarnation=me.incarnation)
            _catch_signals(joined)
            await stopped.wait()
            await asyncio.sleep(FLUSH_S)
    logger.info("stopped")
    return SUCCESS


@contextlib.asynccontextmanager
async def _border(
    cfg: settings.ProxySettings,
    me: identity.Identity,
    joined: runtime.Runtime,
    tasks: asyncio.TaskGroup,
    tracer: tracing.Tracer | None,
    measured: metrics.Metrics,
) -> AsyncIterator[None]:
    """Builds sources and sinks and serves while the block runs."""
    channels = wired.Channels(tasks)
    upstreams.Upstreams(joined, wired.WiredUpstreams(me, channels), tasks)
    stores.Stores(
        joined,
        wired.WiredStore(cfg.platform, channels),
        wired.WiredHostList(cfg.platform, channels),
        tasks,
    )
    _trace(joined, tracer)
    peer_border = peers.Peers(joined, me, tasks, tracer)
    caller_border = callers.Callers(joined)
    tokens = access.load(cfg.tokens_file)
    admin_border = admin.Admin(joined, tokens, measured)
    async with (
        peer_border.serving(cfg.peers),
        admin_border.serving(cfg.admin),
        caller_border.serving(cfg.callers) as bound,
    ):
        print(bound, flush=True)
        tasks.create_task(clock.tick(joined, cfg.tick_ms / MS_PER_S))
        yield


def _watch(joined: runtime.Runtime) -> metrics.Metrics:
    measured = metrics.Metrics()
    changes = logs.ChangeLog()
    joined.subscribe(request_items.Answered, measured.finished)
    joined.subscribe(process.ItemFailed, measured.item_failed)
    joined.subscribe(views.SettingsView, changes.settings)
    joined.subscribe(views.FleetView, changes.fleet)
    joined.subscribe(views.GroupView, changes.group)
    joined.subscribe(views.Promotion, changes.promotion)
    return measured


def _trace(joined: runtime.Runtime, tracer: tracing.Tracer | None) -> None:
    if tracer is None:
        return
    joined.observe(tracer.enter)
    joined.subscribe(items.AnswerCaller, tracer.answer_caller)
    joined.subscribe(items.SendPeer, tracer.send_peer)
    joined.subscribe(items.RunUpstream, tracer.run_upstream)


def _catch_signals(joined: runtime.Runtime) -> None:
    loop = asyncio.get_running_loop()

    def ask_to_stop() -> None:
        joined.feed(process.StopAsked(joined.now()))

    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, ask_to_stop)
