"""The processes of one bench: a deployment, its faults and its generators."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
import signal
import sys
from typing import TYPE_CHECKING

from fescueshunt.core import document, request, upstream
from fescueshunt_cli import caller
from fescueshunt_cli._internal import deployment
from fescueshunt_cli._internal.bench import plan, samples
from fescueshunt_standins import fleet as fleets
from fescueshunt_wire import platform

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ROOT = pathlib.Path(__file__).resolve().parents[1]
SCHEMA = "CREATE TABLE item (id INTEGER PRIMARY KEY, n INTEGER)"
PING = request.Statement("SELECT 1")
READY_TIMEOUT_S = 30.0
READY_PAUSE_S = 0.1
SETTLE_S = 1.5
FAULT_AT_S = 2.0
MAX_RATE_PER_GENERATOR = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Setup:
    """What is measured: a plan on a deployment, with some settings of proxies.

    `name` is "ours" or the name of a baseline.
    """

    name: str
    file: pathlib.Path
    plan: plan.Plan
    proxy: tuple[tuple[str, object], ...] = ()

    def document(self) -> document.Document:
        """Returns the deployment, cut down to the plan's databases."""
        declared = deployment.load(ROOT / self.plan.site.deployment)
        databases = declared.databases[: self.plan.site.databases]
        return dataclasses.replace(declared, databases=databases)

    def site(self) -> fleets.FleetOptions:
        """Returns what the hosts are like."""
        site = self.plan.site
        return fleets.FleetOptions(
            statement_ms=site.statement_ms,
            connect_ms=site.connect_ms,
            schema_sql=SCHEMA,
            proxies_per_zone=site.proxies_per_zone,
            zone_ms=site.zone_ms,
            proxy=(("trace_file", ""), *self.proxy),
        )


@contextlib.asynccontextmanager
async def running(setup: Setup) -> AsyncIterator[fleets.Fleet]:
    """Starts the processes, waits until all proxies serve, and ends them."""
    declared = setup.document()
    zones = sorted({u.zone for d in declared.databases for u in d.upstreams})
    async with fleets.running(declared, setup.site(), zones) as fleet:
        for process in fleet.proxies.values():
            await wait_ready(process, declared)
        await asyncio.sleep(SETTLE_S)
        yield fleet


async def measure(
    fleet: fleets.Fleet, setup: Setup, phase: str, seed: int
) -> list[samples.Sample]:
    """Runs one phase and returns its samples."""
    streams = setup.plan.streams
    rate = sum(setup.plan.rate(phase, name) for name in streams)
    parts = int(rate // MAX_RATE_PER_GENERATOR) + 1
    outs = [fleet.folder / f"{phase}-{n}.jsonl" for n in range(parts)]
    generators = [
        await _start_generator(fleet, setup, phase, seed, number, parts, out)
        for number, out in enumerate(outs)
    ]
    await _set_fault(fleet, setup.plan.phases[phase])
    for generator in generators:
        await generator.wait()
    await _clear_faults(fleet)
    return [sample for out in outs for sample in samples.read(out)]


async def _start_generator(
    fleet: fleets.Fleet,
    setup: Setup,
    phase: str,
    seed: int,
    number: int,
    parts: int,
    out: pathlib.Path,
) -> asyncio.subprocess.Process:
    addresses = [p.address for p in fleet.proxies.values()]
    names = [d.name for d in fleet.document.databases]
    command = [sys.executable, "-m", "fescueshunt_cli", "bench"]
    command += [str(setup.file), phase, str(out)]
    command += ["--addresses", *addresses, "--databases", *names]
    command += ["--seed", str(seed), "--number", str(number)]
    command += ["--parts", str(parts)]
    return await asyncio.create_subprocess_exec(
        *command, stdout=asyncio.subprocess.PIPE
    )


async def _set_fault(fleet: fleets.Fleet, phase: plan.PhaseModel) -> None:
    if phase.lag_s:
        lag = platform.SetFault(lag_s=phase.lag_s)
        for process in fleet.upstreams.values():
            await fleet.call_stand_in(process, lag)
    if phase.store_down:
        await fleet.call_stand_in(fleet.platform, platform.SetFault(down=True))
    if phase.kill_primary:
        await asyncio.sleep(FAULT_AT_S)
        for database in fleet.document.databases:
            victim = await _primary_of(fleet, database)
            victim.send(signal.SIGKILL)


async def _clear_faults(fleet: fleets.Fleet) -> None:
    for process in fleet.all_processes():
        if process.name in fleet.proxies or process.popen.poll() is not None:
            continue
        await fleet.call_stand_in(process, platform.SetFault())


async def _primary_of(
    fleet: fleets.Fleet, database: document.Database
) -> fleets.Process:
    for member in database.upstreams:
        process = fleet.upstreams[member.name]
        status = await fleet.call_stand_in(process, upstream.ReadStatus())
        if status.role is upstream.Role.PRIMARY:
            return process
    return fleet.upstreams[database.upstreams[0].name]


async def wait_ready(
    process: fleets.Process, declared: document.Document
) -> None:
    """Waits until the proxy `process` serves reads of each database."""
    service = next(s for s in declared.services if s.max_age_s is not None)
    async with (
        asyncio.timeout(READY_TIMEOUT_S),
        caller.session(process.address, "ready") as session,
    ):
        for database in declared.databases:
            while (await session.read(service.name, database.name, PING)).error:
                await asyncio.sleep(READY_PAUSE_S)
