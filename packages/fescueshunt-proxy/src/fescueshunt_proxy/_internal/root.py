"""Composition root of the proxy: creates its parts and connects them."""

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
    wire_platform,
)
from fescueshunt_wire import codec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MS_PER_S = 1000
FLUSH_DELAY_S = 0.1
SUCCESS = 0
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def run(cfg: settings.ProxySettings) -> int:
    """Runs a proxy until it has shut down; returns the exit code."""
    local_proxy = identity.Identity(
        cfg.name, cfg.zone, cfg.peers, int(time.time() * MS_PER_S)
    )
    logs.configure(local_proxy)
    logger = structlog.get_logger(__name__)
    core_runtime = runtime.Runtime(
        proxy.build(
            local_proxy,
            codec.ResultCodec(),
            seeds=cfg.seeds,
            policy=policies.make_policy(cfg.pools, cfg.queues, cfg.reads),
        )
    )
    stopped = asyncio.Event()
    core_runtime.subscribe(process.Stopped, lambda _: stopped.set())
    proxy_metrics = _subscribe_observers(core_runtime)
    _install_signal_handlers(core_runtime)
    with (
        recording.recording_to_file(cfg.record_file, local_proxy, core_runtime),
        tracing.tracing_to_file(
            cfg.trace_file, cfg.trace_share, local_proxy
        ) as tracer,
    ):
        async with (
            runtime.background_tasks() as tasks,
            _serving(
                cfg, local_proxy, core_runtime, tasks, tracer, proxy_metrics
            ),
        ):
            logger.info("started", incarnation=local_proxy.incarnation)
            await stopped.wait()
            await asyncio.sleep(FLUSH_DELAY_S)
    logger.info("stopped")
    return SUCCESS


@contextlib.asynccontextmanager
async def _serving(
    cfg: settings.ProxySettings,
    local_proxy: identity.Identity,
    core_runtime: runtime.Runtime,
    tasks: asyncio.TaskGroup,
    tracer: tracing.Tracer | None,
    proxy_metrics: metrics.Metrics,
) -> AsyncIterator[None]:
    """Connects the adapters to the core and serves until the context exits.

    Prints the address that callers connect to.
    """
    channel_pool = wire_platform.ChannelPool(tasks)
    upstreams.UpstreamConnections(
        core_runtime,
        wire_platform.WireUpstreams(local_proxy, channel_pool),
        tasks,
    )
    stores.PlatformCallExecutor(
        core_runtime,
        wire_platform.WireSettingsStore(cfg.platform, channel_pool),
        wire_platform.WireHostList(cfg.platform, channel_pool),
        tasks,
    )
    _subscribe_tracer(core_runtime, tracer)
    peer_connections = peers.PeerConnections(
        core_runtime, local_proxy, tasks, tracer
    )
    caller_connections = callers.CallerConnections(core_runtime)
    authenticator = access.load(cfg.tokens_file)
    admin_connections = admin.AdminConnections(
        core_runtime, authenticator, proxy_metrics
    )
    async with (
        peer_connections.serving(cfg.peers),
        admin_connections.serving(cfg.admin),
        caller_connections.serving(cfg.callers) as callers_address,
    ):
        print(callers_address, flush=True)
        tasks.create_task(
            clock.feed_ticks(core_runtime, cfg.tick_ms / MS_PER_S)
        )
        yield


def _subscribe_observers(core_runtime: runtime.Runtime) -> metrics.Metrics:
    proxy_metrics = metrics.Metrics()
    view_logger = logs.ViewChangeLogger()
    core_runtime.subscribe(request_items.Answered, proxy_metrics.record_answer)
    core_runtime.subscribe(process.ItemFailed, proxy_metrics.count_failed_item)
    core_runtime.subscribe(views.SettingsView, view_logger.log_settings)
    core_runtime.subscribe(views.FleetView, view_logger.log_fleet)
    core_runtime.subscribe(views.GroupView, view_logger.log_group)
    core_runtime.subscribe(views.Promotion, view_logger.log_promotion)
    return proxy_metrics


def _subscribe_tracer(
    core_runtime: runtime.Runtime, tracer: tracing.Tracer | None
) -> None:
    if tracer is None:
        return
    core_runtime.observe(tracer.observe_item)
    core_runtime.subscribe(items.AnswerCaller, tracer.end_entry_span)
    core_runtime.subscribe(items.SendPeer, tracer.end_home_span)
    core_runtime.subscribe(items.RunUpstream, tracer.start_upstream_span)


def _install_signal_handlers(core_runtime: runtime.Runtime) -> None:
    loop = asyncio.get_running_loop()

    def request_stop() -> None:
        core_runtime.feed(process.StopAsked(core_runtime.now()))

    def log_ignored_reload() -> None:
        # The settings of the process are read once at start.
        structlog.get_logger(__name__).info("settings_kept")

    loop.add_signal_handler(signal.SIGHUP, log_ignored_reload)
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, request_stop)
