"""Composition root of a host that serves client sessions."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from typing import TYPE_CHECKING

import structlog

from fescueshunt import hosted
from fescueshunt.core import (
    client_limits,
    identity,
    process,
    session_items,
)
from fescueshunt.sessions import items as session_pipe_items
from fescueshunt_proxy._internal import clock, runtime
from fescueshunt_proxy._internal.hosted import (
    allocator,
    decisions,
    front,
    links,
    measures,
    metrics_endpoint,
    peer_links,
    peer_transport,
    store_client,
)
from fescueshunt_proxy.platform import front_end as line_front
from fescueshunt_proxy.platform import (
    promotions,
    readiness,
    store,
    upstreams,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fescueshunt_proxy._internal.hosted import own_settings, ports

TICK_INTERVAL_S = 0.02
MS_PER_S = 1000
SUCCESS = 0
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def run(
    cfg: ports.HostSettings, operator_cfg: own_settings.OperatorSettings
) -> int:
    """Runs a host until a stop signal arrives and returns the exit code."""
    local_host = identity.Identity(
        cfg.name,
        cfg.zone,
        cfg.session_address,
        int(time.time() * MS_PER_S),
        cfg.peer_address,
        cfg.cores,
    )
    allocator.return_large_buffers()
    decisions.configure(local_host)
    logger = structlog.get_logger(__name__)
    core = hosted.build(
        local_host,
        cfg.grace_s,
        bound=cfg.quota_bound,
        lends=operator_cfg.lends_connections,
    )
    core_runtime = runtime.Runtime(core, clock.seconds_since_boot)
    _install_signal_handlers(core_runtime)
    stopped = asyncio.Event()
    core_runtime.subscribe(process.Stopped, lambda _: stopped.set())
    decision_log = decisions.DecisionLog(operator_cfg)
    core_runtime.subscribe(session_items.LogDecision, decision_log.write)
    metrics_recorder = measures.HostMetrics(core_runtime)
    metrics_address = _metrics_address(cfg, operator_cfg)
    async with (
        runtime.background_tasks() as tasks,
        metrics_endpoint.serving(metrics_address, metrics_recorder.render),
        _run_adapters(
            cfg, operator_cfg, core_runtime, tasks, metrics_recorder
        ) as client_connections,
    ):
        logger.info("started", incarnation=local_host.incarnation)
        with core_runtime.closing():
            await stopped.wait()
    logger.info(
        "stopped",
        connections=client_connections.open_count,
        unanswered=client_connections.unanswered,
    )
    # The event loop removes its handlers when it closes.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    return SUCCESS


@contextlib.asynccontextmanager
async def _run_adapters(
    cfg: ports.HostSettings,
    operator_cfg: own_settings.OperatorSettings,
    core_runtime: runtime.Runtime,
    tasks: asyncio.TaskGroup,
    metrics_recorder: measures.HostMetrics,
) -> AsyncIterator[front.ClientConnections]:
    """Connects the adapters to the core and runs them within the context.

    Yields:
      The client connections.
    """
    ready_flag = _ReadyFlag(core_runtime)
    links.UpstreamConnections(
        core_runtime, upstreams.LineProtocolConnector(), tasks
    )
    peer_links.PeerLinks(
        core_runtime,
        peer_transport.WebSocketPeers(cfg.name, cfg.peer_address),
        tasks,
    )
    client_connections = front.ClientConnections(
        core_runtime, _client_limits(cfg, operator_cfg)
    )
    tasks.create_task(client_connections.drop_overdue())
    with (
        store.connected(cfg.store_address, core_runtime.now) as platform_store,
        promotions.connected(cfg.promotion_address) as promotion_client,
    ):
        store_client.StoreCallExecutor(
            core_runtime,
            platform_store,
            promotion_client,
            tasks,
            metrics_recorder,
        )
        async with (
            readiness.HttpReadinessEndpoint().serving(
                cfg.readiness_address, ready_flag.is_ready
            ),
            client_connections.serving(
                line_front.LineProtocolFrontEnd(), cfg.session_address
            ),
        ):
            watcher = store_client.StoreWatcher(
                core_runtime, platform_store, metrics_recorder
            )
            tasks.create_task(watcher.run())
            tasks.create_task(clock.feed_ticks(core_runtime, TICK_INTERVAL_S))
            yield client_connections


def _client_limits(
    cfg: ports.HostSettings, operator_cfg: own_settings.OperatorSettings
) -> client_limits.Limits:
    return client_limits.Limits(
        client_limits.memory_limit(cfg.memory_bytes),
        client_limits.client_limit(cfg.max_descriptors),
        operator_cfg.start_timeout_s,
        operator_cfg.message_timeout_s,
        operator_cfg.read_timeout_s,
    )


def _metrics_address(
    cfg: ports.HostSettings, operator_cfg: own_settings.OperatorSettings
) -> str:
    """Returns the metrics endpoint's address, "" if it is disabled."""
    if not operator_cfg.metrics_port:
        return ""
    host, _, _ = cfg.session_address.rpartition(":")
    return f"{host}:{operator_cfg.metrics_port}"


class _ReadyFlag:
    """Holds the latest readiness reported by the core."""

    def __init__(self, core_runtime: runtime.Runtime) -> None:
        self._ready = False
        core_runtime.subscribe(session_pipe_items.ReadinessView, self._update)

    def _update(self, view: session_pipe_items.ReadinessView) -> None:
        self._ready = view.ready

    def is_ready(self) -> bool:
        return self._ready


def _install_signal_handlers(core_runtime: runtime.Runtime) -> None:
    loop = asyncio.get_running_loop()

    def request_stop() -> None:
        core_runtime.feed(process.StopAsked(core_runtime.now()))

    def log_ignored_reload() -> None:
        # Settings are read once at start; SIGHUP does not reload them.
        structlog.get_logger(__name__).info("settings_kept")

    loop.add_signal_handler(signal.SIGTERM, request_stop)
    loop.add_signal_handler(signal.SIGINT, request_stop)
    loop.add_signal_handler(signal.SIGHUP, log_ignored_reload)
