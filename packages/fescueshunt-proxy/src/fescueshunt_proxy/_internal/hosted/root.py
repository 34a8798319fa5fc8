"""The composition root of a host whose front end holds sessions."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from typing import TYPE_CHECKING

import structlog

from fescueshunt import hosted
from fescueshunt.core import identity, process, session_items
from fescueshunt.sessions import items as session_pipe_items
from fescueshunt_proxy._internal import clock, runtime
from fescueshunt_proxy._internal.hosted import (
    decisions,
    front,
    links,
    measures,
    scrape,
    stores,
)
from fescueshunt_proxy.platform import (
    duty,
    readiness,
    store,
    upstreams,
)
from fescueshunt_proxy.platform import front as line_front

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fescueshunt_proxy._internal.hosted import own_settings, ports

TICK_S = 0.02
FLUSH_S = 0.05
MS_PER_S = 1000
SUCCESS = 0


async def run(cfg: ports.HostSettings, own: own_settings.OwnSettings) -> int:
    """Runs a host until it is asked to stop; returns the exit code."""
    me = identity.Identity(
        cfg.name, cfg.zone, cfg.sessions, int(time.time() * MS_PER_S)
    )
    decisions.configure(me)
    logger = structlog.get_logger(__name__)
    core = hosted.build(me, cfg.grace_s)
    joined = runtime.Runtime(core, clock.seconds_since_boot)
    stopped = asyncio.Event()
    joined.subscribe(process.Stopped, lambda _: stopped.set())
    log = decisions.DecisionLog(own)
    joined.subscribe(session_items.LogDecision, log.decided)
    measured = measures.Measures(joined)
    scraped = _metrics_address(cfg, own)
    async with (
        runtime.background_tasks() as tasks,
        scrape.serving(scraped, measured.render),
        _border(cfg, joined, tasks, measured),
    ):
        logger.info("started", incarnation=me.incarnation)
        _catch_signals(joined)
        await stopped.wait()
        await asyncio.sleep(FLUSH_S)
    logger.info("stopped")
    return SUCCESS


@contextlib.asynccontextmanager
async def _border(
    cfg: ports.HostSettings,
    joined: runtime.Runtime,
    tasks: asyncio.TaskGroup,
    measured: measures.Measures,
) -> AsyncIterator[None]:
    """Builds sources and sinks and serves while the block runs."""
    ready = _ReadyFlag(joined)
    links.Links(joined, upstreams.LineUpstreams(), tasks)
    kept = store.HttpStore(cfg.store, joined.now)
    promotions = duty.HttpPromotions(cfg.promotions)
    stores.StoreCalls(joined, kept, promotions, tasks, measured)
    clients = front.Clients(joined)
    async with (
        readiness.HttpReadiness().serving(cfg.readiness, ready.is_ready),
        clients.serving(line_front.LineFront(), cfg.sessions),
    ):
        tasks.create_task(stores.Watcher(joined, kept, measured).run())
        tasks.create_task(clock.feed_ticks(joined, TICK_S))
        yield


def _metrics_address(
    cfg: ports.HostSettings, own: own_settings.OwnSettings
) -> str:
    """Returns where metrics are served, "" for nowhere."""
    if not own.metrics_port:
        return ""
    host, _, _ = cfg.sessions.rpartition(":")
    return f"{host}:{own.metrics_port}"


class _ReadyFlag:
    """Remembers the newest readiness view."""

    def __init__(self, joined: runtime.Runtime) -> None:
        self._ready = False
        joined.subscribe(session_pipe_items.ReadinessView, self._see)

    def _see(self, view: session_pipe_items.ReadinessView) -> None:
        self._ready = view.ready

    def is_ready(self) -> bool:
        return self._ready


def _catch_signals(joined: runtime.Runtime) -> None:
    loop = asyncio.get_running_loop()

    def ask_to_stop() -> None:
        joined.feed(process.StopAsked(joined.now()))

    def reload() -> None:
        # Every setting of this program holds for the life of its process.
        structlog.get_logger(__name__).info("settings_kept")

    loop.add_signal_handler(signal.SIGTERM, ask_to_stop)
    loop.add_signal_handler(signal.SIGINT, ask_to_stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
