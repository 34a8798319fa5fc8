"""A small deployment: store, one or more services, hosts and their clients."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import sys
import time
from typing import TYPE_CHECKING

from support2 import backends, doors, hosts, http_server
from support2 import record as records
from support2 import store as stores

if TYPE_CHECKING:
    from collections.abc import (
        AsyncIterator,
        Awaitable,
        Callable,
        Mapping,
        Sequence,
    )

PASSED, BROKEN, NOT_RUN = 0, 1, 2
MAX_RUN_S = 110.0
PRIMARY_ROUTE = "orders"
STALE_ROUTE = "lookups"
# The timeouts of routes by their type, as the site files have them.
SVETLOKAL_MS = {"primary": 800, "bounded_staleness": 1200}
SAHIL_MS = {"primary": 1000, "bounded_staleness": 3000}


def is_disturbed() -> bool:
    """Returns whether the disruption is to take place: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    case: str,
    script: str,
    play: Callable[[records.Record], Awaitable[tuple[int, str]]],
) -> None:
    """Plays a case, and ends the process with its outcome.

    Args:
      case: the name of the case.
      script: the script; the record is written beside it.
      play: plays the case; returns the outcome and a text about it.
    """
    record = records.Record(pathlib.Path(script).with_name("record.txt"))
    try:
        code, text = asyncio.run(asyncio.wait_for(play(record), MAX_RUN_S))
    except Exception as exc:
        # A case that fails by itself says nothing about the rule.
        code, text = NOT_RUN, f"the case could not run: {exc!r}"
    record.note("outcome", code=code, text=text)
    record.close()
    print(f"{case}: {text}", flush=True)
    sys.exit(code)


class Clock:
    """The time since a disruption began."""

    def __init__(self) -> None:
        self._started_at = time.monotonic()

    async def wait_until(self, elapsed_s: float) -> None:
        """Waits until so much time has passed since the start."""
        due_at = self._started_at + elapsed_s
        await asyncio.sleep(max(due_at - time.monotonic(), 0.0))


@dataclasses.dataclass(slots=True)
class Scene:
    """What runs.

    Attributes:
      store: the platform's store.
      services: the services by name.
      hosts: the host processes.
      doors: what stands between the store and each host, in the same order.
      gates: what stands between the first primary and each host, likewise.
      record: where events are noted.
    """

    store: stores.Store
    services: dict[str, backends.Service]
    hosts: list[hosts.Host]
    doors: list[doors.Door]
    gates: list[doors.Gate]
    record: records.Record


def _config(
    services: Sequence[str],
    timeouts_ms: Mapping[str, int],
    accounts: Sequence[Mapping[str, object]] | None,
) -> bytes:
    """Returns the operator's config; the first service has two routes."""
    kinds = (
        (PRIMARY_ROUTE, "primary", 0),
        (STALE_ROUTE, "bounded_staleness", 1500),
    )
    routes = [
        {
            "db_name": name if number == 0 else f"{name}{number}",
            "service": service,
            "route_type": route_type,
            "timeout_ms": timeouts_ms[route_type],
            "target_latency_ms": 100,
            "priority": 0,
            "max_staleness_ms": max_staleness_ms,
        }
        for number, service in enumerate(services)
        for name, route_type, max_staleness_ms in kinds
    ]
    document = {
        "version": 7,
        "routes": routes,
        "services": [
            {"name": service, "max_conns": 16, "sync_replicas": 1}
            for service in services
        ],
        "limits": {"tx_idle_ms": 3000},
    }
    if accounts is not None:
        document["tenants"] = list(accounts)
    return json.dumps(document).encode()


@contextlib.asynccontextmanager
async def running(
    record: records.Record,
    host_count: int = 2,
    services: Sequence[str] = ("db-a",),
    timeouts_ms: Mapping[str, int] = SVETLOKAL_MS,
    accounts: Sequence[Mapping[str, object]] | None = None,
) -> AsyncIterator[Scene]:
    """Runs a store, services of three backends each, and hosts.

    The first backend of a service is its primary. Hosts are started last, and
    are not waited for.
    """
    by_name: dict[str, backends.Service] = {}

    def promote(service: str, upstream: str, holder: str, token: int) -> bool:
        del holder, token
        return service in by_name and by_name[service].promote(upstream)

    keys = stores.Store(promote)
    ip = hosts.loopback(1)
    cloud_port = hosts.free_port(ip)
    async with contextlib.AsyncExitStack() as stack:
        for number, name in enumerate(services):
            service = backends.Service(name, keys, record)
            by_name[name] = service
            for letter in "pqr":
                last = 100 + 10 * number + "pqr".index(letter)
                added = service.add(f"i-{name}-{letter}", hosts.loopback(last))
                added.is_primary = letter == "p"
                await added.start()
            task = backends.in_background(service.run_periodic_work())
            await stack.enter_async_context(task)
        keys.put("op/config", _config(services, timeouts_ms, accounts))
        await stack.enter_async_context(
            backends.in_background(keys.expire_leases())
        )
        serving = http_server.serving(ip, cloud_port, keys.handle_promotion)
        await stack.enter_async_context(serving)
        opened = [doors.Door(keys) for _ in range(host_count)]
        first = by_name[services[0]]
        primary = next(iter(first.backends.values()))
        gates = [doors.Gate(primary.host, primary.port) for _ in opened]
        for door, gate in zip(opened, gates, strict=True):
            seen = await stack.enter_async_context(gate.serving(ip))
            door.detours[f"{primary.host}:{primary.port}"] = seen
        stores_seen = []
        for door in opened:
            port = hosts.free_port(ip)
            stores_seen.append(f"{ip}:{port}")
            await stack.enter_async_context(
                http_server.serving(ip, port, door.handle)
            )
        started = stack.enter_context(
            hosts.running(stores_seen, f"{ip}:{cloud_port}", record)
        )
        yield Scene(keys, by_name, started, opened, gates, record)
        for service in by_name.values():
            for backend in service.backends.values():
                backend.close()
