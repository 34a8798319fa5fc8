"""Processor time and memory of real processes over loopback."""

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

MS = 1e3
US = 1e6
KB = 1e3
SETTLE_S = 2.0
IDLE_S = 4.0
LOAD_S = 4.0
READY_S = 20.0
PAUSE_S = 0.2
OPEN_AT_ONCE = 50
NEAR = declared.ZONES[0]
FAR = declared.ZONES[1]
SITE = fleets.FleetOptions(
    statement_ms=0.5,
    connect_ms=1.0,
    proxies_per_zone=1,
    list_lag_ms=100.0,
    schema_sql="CREATE TABLE card (id TEXT, valid_until TEXT)",
)
ADD = request.Statement("INSERT INTO card VALUES (?, ?)", ("c1", "2027-03-10"))


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """What a process used over a time: seconds of processor, bytes held."""

    cpu_s: float
    memory: float


class Meter:
    """Reads one process."""

    def __init__(self, process: fleets.Process) -> None:
        self._process = psutil.Process(process.popen.pid)
        self._start_s = self._cpu_s()

    def read(self) -> Use:
        """Returns the use since the meter was made."""
        memory = self._process.memory_info().rss
        return Use(self._cpu_s() - self._start_s, float(memory))

    def _cpu_s(self) -> float:
        times = self._process.cpu_times()
        return times.user + times.system


class Connections(slopes.Measure):
    """Idle connections of callers to one proxy process."""

    name = "connections"
    per = "connection"
    sizes = (250, 500, 1000, 2000)
    repeats = 2

    def take(self, size: int) -> Iterator[slopes.Reading]:
        """Yields memory and processor time with `size` connections."""
        raise_file_limit()
        use = asyncio.run(self._hold(size))
        yield slopes.Reading("memory", "KB", size, use.memory / KB)
        yield slopes.Reading(
            "processor time a second", "ms", size, use.cpu_s * MS / IDLE_S
        )

    async def _hold(self, size: int) -> Use:
        async with running(declared.NO_DATABASES, (NEAR,)) as fleet:
            process = next(iter(fleet.proxies.values()))
            async with contextlib.AsyncExitStack() as stack:
                for _ in range(0, size, OPEN_AT_ONCE):
                    await self._open(stack, process.address)
                await asyncio.sleep(SETTLE_S)
                meter = Meter(process)
                await asyncio.sleep(IDLE_S)
                return meter.read()

    async def _open(
        self, stack: contextlib.AsyncExitStack, address: str
    ) -> None:
        opened = [
            client.connect(
                f"ws://{address}/",
                proxy=None,
                compression=None,
                ping_interval=None,
                close_timeout=0.1,
            )
            for _ in range(OPEN_AT_ONCE)
        ]
        await asyncio.gather(*(stack.enter_async_context(c) for c in opened))


class Load(slopes.Measure):
    """Statements a second, entered at one proxy and run by another.

    Attributes:
      service: the service of the statements.
    """

    per = "statement a second"
    service: ClassVar[str]

    def take(self, size: int) -> Iterator[slopes.Reading]:
        """Yields what both processes spend in a second at a rate."""
        entry, home = asyncio.run(self._run(self.service, size))
        for role, use in (("entry", entry), ("home", home)):
            yield slopes.Reading(
                f"process, {role}, {self.service}, processor time a second",
                "us",
                size,
                use.cpu_s * US / LOAD_S,
            )

    async def _run(self, service: str, rate: int) -> tuple[Use, Use]:
        settings = near_database()
        async with running(settings, (NEAR, FAR)) as fleet:
            home, entry = fleet.proxies.values()
            async with caller.session(entry.address, "load") as session:
                await self._wait_ready(session, service, settings)
                meters = (Meter(entry), Meter(home))
                await self._send_all(session, service, settings, rate)
                return meters[0].read(), meters[1].read()

    async def _wait_ready(
        self,
        session: caller.Session,
        service: str,
        settings: document.Document,
    ) -> None:
        async with asyncio.timeout(READY_S):
            while (await self._send(session, service, settings)).error:
                await asyncio.sleep(PAUSE_S)

    async def _send_all(
        self,
        session: caller.Session,
        service: str,
        settings: document.Document,
        rate: int,
    ) -> None:
        start = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            sent = []
            for number in range(int(rate * LOAD_S)):
                due = start + number / rate
                await asyncio.sleep(max(due - time.monotonic(), 0))
                sent.append(
                    tasks.create_task(self._send(session, service, settings))
                )
        failed = [t.result().error for t in sent if t.result().error]
        if failed:
            raise errors.NoRouteError(f"{len(failed)}: {failed[0]}")

    async def _send(
        self,
        session: caller.Session,
        service: str,
        settings: document.Document,
    ) -> request.Answer:
        database = settings.databases[0].name
        if service == declared.WRITE:
            return await session.write(service, database, ADD)
        return await session.read(service, database, declared.STATEMENT)


class Reads(Load):
    """Reads at the primary."""

    name = "reads"
    sizes = (50, 100, 200, 400)
    service = declared.READ


class Writes(Load):
    """Writes that a majority holds before they are acknowledged."""

    name = "writes"
    sizes = (10, 20, 40, 80)
    service = declared.WRITE


class Hosted(slopes.Measure):
    """Databases that one proxy process hosts, idle."""

    name = "hosted"
    per = "database"
    sizes = (10, 20, 40, 80)
    repeats = 3

    def take(self, size: int) -> Iterator[slopes.Reading]:
        """Yields memory and processor time with `size` idle databases."""
        use = asyncio.run(self._host(size))
        yield slopes.Reading("memory", "KB", size, use.memory / KB)
        yield slopes.Reading(
            "processor time a second", "ms", size, use.cpu_s * MS / IDLE_S
        )

    async def _host(self, size: int) -> Use:
        with fleets.processes(near_database(), SITE, (NEAR,)) as fleet:
            first = fleet.document.databases[0]
            fleet.document = dataclasses.replace(
                fleet.document,
                databases=tuple(
                    dataclasses.replace(first, name=f"renew-{number:05}")
                    for number in range(size)
                ),
            )
            await fleets.put_settings(fleet)
            await fleets.register_hosts(fleet)
            await asyncio.sleep(SETTLE_S)
            meter = Meter(next(iter(fleet.proxies.values())))
            await asyncio.sleep(IDLE_S)
            return meter.read()


class Proxies(slopes.Measure):
    """Proxies of an idle fleet: one process, and the platform's calls."""

    name = "proxies"
    per = "proxy"
    sizes = (2, 4, 8, 12)
    repeats = 2

    def take(self, size: int) -> Iterator[slopes.Reading]:
        """Yields the platform's calls and the use of one of `size` proxies."""
        yield from asyncio.run(self._idle(size))

    async def _idle(self, size: int) -> list[slopes.Reading]:
        site = dataclasses.replace(SITE, proxies_per_zone=size // 2)
        async with running(declared.NO_DATABASES, (NEAR, FAR), site) as fleet:
            await asyncio.sleep(SETTLE_S)
            before = await count_calls(fleet)
            meter = Meter(next(iter(fleet.proxies.values())))
            await asyncio.sleep(IDLE_S)
            use = meter.read()
            after = await count_calls(fleet)
        rows = [
            ("one process, memory", "KB", use.memory / KB),
            ("one process, processor time a second", "ms", use.cpu_s * MS),
        ]
        for name in sorted(after):
            made = after[name] - before.get(name, 0)
            rows.append((f"platform calls a second, {name}", "calls", made))
        return [
            slopes.Reading(
                name,
                unit,
                size,
                value if "memory" in name else value / IDLE_S,
            )
            for name, unit, value in rows
        ]


async def count_calls(fleet: fleets.Fleet) -> dict[str, int]:
    """Returns how many calls the platform has counted, by name."""
    counted = await fleet.call_stand_in(fleet.platform, platform.ReadCalls())
    return dict(counted.counts)


def near_database() -> document.Document:
    """Returns settings of one database with all its upstreams in NEAR."""
    settings = declared.declare(1)
    first = settings.databases[0]
    upstreams = tuple(
        dataclasses.replace(u, zone=NEAR) for u in first.upstreams
    )
    return dataclasses.replace(
        settings, databases=(dataclasses.replace(first, upstreams=upstreams),)
    )


@contextlib.asynccontextmanager
async def running(
    settings: document.Document,
    zones: tuple[str, ...],
    site: fleets.FleetOptions = SITE,
) -> AsyncIterator[fleets.Fleet]:
    """Runs a deployment with `settings` and ends it."""
    async with fleets.running(settings, site, zones) as fleet:
        await asyncio.sleep(PAUSE_S)
        yield fleet


def raise_file_limit() -> None:
    """Lets this process and those it starts open as many files as allowed."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


ALL = (Connections, Reads, Writes, Hosted, Proxies)
