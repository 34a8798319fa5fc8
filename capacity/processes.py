"""Processor time and memory of real proxy processes over loopback."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import resource
import time
from typing import TYPE_CHECKING, ClassVar

import psutil
from websockets.asyncio import client

from capacity import declared, slopes
from fescueshunt import errors
from fescueshunt.core import document, request
from fescueshunt_cli import caller
from fescueshunt_standins import fleet as fleets
from fescueshunt_wire import platform

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

MS_PER_S = 1e3
US_PER_S = 1e6
BYTES_PER_KB = 1e3
SETTLE_TIME_S = 2.0
IDLE_DURATION_S = 4.0
LOAD_DURATION_S = 4.0
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.2
CONNECT_BATCH_SIZE = 50
HOME_ZONE = declared.ZONES[0]
ENTRY_ZONE = declared.ZONES[1]
SITE = fleets.FleetOptions(
    statement_ms=0.5,
    connect_ms=1.0,
    proxies_per_zone=1,
    list_lag_ms=100.0,
    schema_sql="CREATE TABLE card (id TEXT, valid_until TEXT)",
)
INSERT_STATEMENT = request.Statement(
    "INSERT INTO card VALUES (?, ?)", ("c1", "2027-03-10")
)


@dataclasses.dataclass(frozen=True, slots=True)
class ResourceUsage:
    """Processor time over a period, and resident memory at its end."""

    cpu_s: float
    memory_bytes: float


class ProcessMeter:
    """Measures the resource usage of one process."""

    def __init__(self, process: fleets.Process) -> None:
        self._process = psutil.Process(process.popen.pid)
        self._start_s = self._cpu_s()

    def read(self) -> ResourceUsage:
        """Returns the processor time since creation, and the memory now."""
        memory_bytes = self._process.memory_info().rss
        return ResourceUsage(self._cpu_s() - self._start_s, float(memory_bytes))

    def _cpu_s(self) -> float:
        times = self._process.cpu_times()
        return times.user + times.system


class IdleConnectionCost(slopes.Measurement):
    """The cost of one more idle caller connection to a proxy process."""

    name = "connections"
    per = "connection"
    sizes = (250, 500, 1000, 2000)
    repeats = 2

    def measure_at(self, size: int) -> Iterator[slopes.Reading]:
        """Yields the memory and processor time with `size` connections."""
        raise_file_limit()
        usage = asyncio.run(self._measure_connections(size))
        yield slopes.Reading(
            "memory", "KB", size, usage.memory_bytes / BYTES_PER_KB
        )
        yield slopes.Reading(
            "processor time a second",
            "ms",
            size,
            usage.cpu_s * MS_PER_S / IDLE_DURATION_S,
        )

    async def _measure_connections(self, size: int) -> ResourceUsage:
        async with started_fleet(
            declared.SETTINGS_WITHOUT_DATABASES, (HOME_ZONE,)
        ) as fleet:
            process = next(iter(fleet.proxies.values()))
            async with contextlib.AsyncExitStack() as stack:
                for _ in range(0, size, CONNECT_BATCH_SIZE):
                    await self._open_batch(stack, process.address)
                await asyncio.sleep(SETTLE_TIME_S)
                meter = ProcessMeter(process)
                await asyncio.sleep(IDLE_DURATION_S)
                return meter.read()

    async def _open_batch(
        self, stack: contextlib.AsyncExitStack, address: str
    ) -> None:
        connections = [
            client.connect(
                f"ws://{address}/",
                proxy=None,
                compression=None,
                ping_interval=None,
                close_timeout=0.1,
            )
            for _ in range(CONNECT_BATCH_SIZE)
        ]
        await asyncio.gather(
            *(stack.enter_async_context(c) for c in connections)
        )


class StatementLoadCost(slopes.Measurement):
    """The cost of one more statement per second to its entry and its home.

    The entry and the home are two proxies in different zones.

    Attributes:
      service: the name of the service that the statements use.
    """

    per = "statement a second"
    service: ClassVar[str]

    def measure_at(self, size: int) -> Iterator[slopes.Reading]:
        """Yields the processor time of both at `size` statements a second."""
        entry, home = asyncio.run(self._measure_load(self.service, size))
        for role, usage in (("entry", entry), ("home", home)):
            yield slopes.Reading(
                f"process, {role}, {self.service}, processor time a second",
                "us",
                size,
                usage.cpu_s * US_PER_S / LOAD_DURATION_S,
            )

    async def _measure_load(
        self, service: str, rate: int
    ) -> tuple[ResourceUsage, ResourceUsage]:
        settings = make_single_zone_settings()
        async with started_fleet(settings, (HOME_ZONE, ENTRY_ZONE)) as fleet:
            home, entry = fleet.proxies.values()
            async with caller.session(entry.address, "load") as session:
                await self._wait_ready(session, service, settings)
                meters = (ProcessMeter(entry), ProcessMeter(home))
                await self._send_all(session, service, settings, rate)
                return meters[0].read(), meters[1].read()

    async def _wait_ready(
        self,
        session: caller.Session,
        service: str,
        settings: document.Document,
    ) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while (await self._send(session, service, settings)).error:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _send_all(
        self,
        session: caller.Session,
        service: str,
        settings: document.Document,
        rate: int,
    ) -> None:
        start = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            requests = []
            for number in range(int(rate * LOAD_DURATION_S)):
                due = start + number / rate
                await asyncio.sleep(max(due - time.monotonic(), 0))
                requests.append(
                    tasks.create_task(self._send(session, service, settings))
                )
        failures = [t.result().error for t in requests if t.result().error]
        if failures:
            raise errors.NoRouteError(
                f"{len(failures)} statements failed, the first: {failures[0]}"
            )

    async def _send(
        self,
        session: caller.Session,
        service: str,
        settings: document.Document,
    ) -> request.Answer:
        database = settings.databases[0].name
        if service == declared.WRITE_SERVICE:
            return await session.write(service, database, INSERT_STATEMENT)
        return await session.read(service, database, declared.READ_STATEMENT)


class ReadLoadCost(StatementLoadCost):
    """The cost of reads at the primary."""

    name = "reads"
    sizes = (50, 100, 200, 400)
    service = declared.READ_SERVICE


class WriteLoadCost(StatementLoadCost):
    """The cost of writes acknowledged after a majority has stored them."""

    name = "writes"
    sizes = (10, 20, 40, 80)
    service = declared.WRITE_SERVICE


class HostedDatabaseCost(slopes.Measurement):
    """The cost of one more idle database to the proxy process that hosts it."""

    name = "hosted"
    per = "database"
    sizes = (10, 20, 40, 80)
    repeats = 3

    def measure_at(self, size: int) -> Iterator[slopes.Reading]:
        """Yields the memory and processor time with `size` idle databases."""
        usage = asyncio.run(self._measure_databases(size))
        yield slopes.Reading(
            "memory", "KB", size, usage.memory_bytes / BYTES_PER_KB
        )
        yield slopes.Reading(
            "processor time a second",
            "ms",
            size,
            usage.cpu_s * MS_PER_S / IDLE_DURATION_S,
        )

    async def _measure_databases(self, size: int) -> ResourceUsage:
        with fleets.processes(
            make_single_zone_settings(), SITE, (HOME_ZONE,)
        ) as fleet:
            first_database = fleet.document.databases[0]
            fleet.document = dataclasses.replace(
                fleet.document,
                databases=tuple(
                    dataclasses.replace(
                        first_database, name=f"renew-{number:05}"
                    )
                    for number in range(size)
                ),
            )
            await fleets.put_settings(fleet)
            await fleets.register_hosts(fleet)
            await asyncio.sleep(SETTLE_TIME_S)
            meter = ProcessMeter(next(iter(fleet.proxies.values())))
            await asyncio.sleep(IDLE_DURATION_S)
            return meter.read()


class ProxyCost(slopes.Measurement):
    """The cost of one more idle proxy to another proxy and the platform."""

    name = "proxies"
    per = "proxy"
    sizes = (2, 4, 8, 12)
    repeats = 2

    def measure_at(self, size: int) -> Iterator[slopes.Reading]:
        """Yields the cost to one of `size` proxies, and the platform calls."""
        yield from asyncio.run(self._measure_proxies(size))

    async def _measure_proxies(self, size: int) -> list[slopes.Reading]:
        site = dataclasses.replace(SITE, proxies_per_zone=size // 2)
        async with started_fleet(
            declared.SETTINGS_WITHOUT_DATABASES, (HOME_ZONE, ENTRY_ZONE), site
        ) as fleet:
            await asyncio.sleep(SETTLE_TIME_S)
            counts_before = await read_call_counts(fleet)
            meter = ProcessMeter(next(iter(fleet.proxies.values())))
            await asyncio.sleep(IDLE_DURATION_S)
            usage = meter.read()
            counts_after = await read_call_counts(fleet)
        rows = [
            ("one process, memory", "KB", usage.memory_bytes / BYTES_PER_KB),
            (
                "one process, processor time a second",
                "ms",
                usage.cpu_s * MS_PER_S,
            ),
        ]
        for name in sorted(counts_after):
            calls = counts_after[name] - counts_before.get(name, 0)
            rows.append((f"platform calls a second, {name}", "calls", calls))
        return [
            slopes.Reading(
                name,
                unit,
                size,
                value if "memory" in name else value / IDLE_DURATION_S,
            )
            for name, unit, value in rows
        ]


async def read_call_counts(fleet: fleets.Fleet) -> dict[str, int]:
    """Returns the number of calls to the platform so far, by call name."""
    reply = await fleet.call_stand_in(fleet.platform, platform.ReadCalls())
    return dict(reply.counts)


def make_single_zone_settings() -> document.Document:
    """Returns settings of one database with all upstreams in HOME_ZONE."""
    settings = declared.make_settings(1)
    first_database = settings.databases[0]
    upstreams = tuple(
        dataclasses.replace(u, zone=HOME_ZONE) for u in first_database.upstreams
    )
    return dataclasses.replace(
        settings,
        databases=(dataclasses.replace(first_database, upstreams=upstreams),),
    )


@contextlib.asynccontextmanager
async def started_fleet(
    settings: document.Document,
    zones: tuple[str, ...],
    site: fleets.FleetOptions = SITE,
) -> AsyncIterator[fleets.Fleet]:
    """Runs a fleet with `settings` and stops it on exit."""
    async with fleets.running(settings, site, zones) as fleet:
        await asyncio.sleep(POLL_INTERVAL_S)
        yield fleet


def raise_file_limit() -> None:
    """Raises the open file limit of this process and its children."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


ALL = (
    IdleConnectionCost,
    ReadLoadCost,
    WriteLoadCost,
    HostedDatabaseCost,
    ProxyCost,
)
