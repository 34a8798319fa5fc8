"""Deploys the processes of a benchmark, injects faults and generates load."""

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
PROBE_STATEMENT = request.Statement("SELECT 1")
READY_TIMEOUT_S = 30.0
READY_POLL_INTERVAL_S = 0.1
SETTLE_TIME_S = 1.5
FAULT_DELAY_S = 2.0
MAX_RATE_PER_GENERATOR = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Setup:
    """A bench plan, and the proxy options that it runs with.

    Attributes:
      name: "ours", or the name of a baseline.
      plan_path: the file of the plan.
      plan: the plan, as loaded from that file.
      proxy_options: settings that all proxies get in addition to their own.
    """

    name: str
    plan_path: pathlib.Path
    plan: plan.Plan
    proxy_options: tuple[tuple[str, object], ...] = ()

    def document(self) -> document.Document:
        """Returns the settings of the deployment with only its first databases.

        The site of the plan sets their number.
        """
        settings = deployment.load(ROOT / self.plan.site.deployment)
        databases = settings.databases[: self.plan.site.databases]
        return dataclasses.replace(settings, databases=databases)

    def site(self) -> fleets.FleetOptions:
        """Returns the simulated delays and the proxy options of the hosts."""
        site = self.plan.site
        return fleets.FleetOptions(
            statement_ms=site.statement_ms,
            connect_ms=site.connect_ms,
            schema_sql=SCHEMA,
            proxies_per_zone=site.proxies_per_zone,
            zone_ms=site.zone_ms,
            proxy=(("trace_file", ""), *self.proxy_options),
        )


@contextlib.asynccontextmanager
async def started_fleet(setup: Setup) -> AsyncIterator[fleets.Fleet]:
    """Starts all processes, waits for the proxies, and stops all on exit."""
    settings = setup.document()
    zones = sorted({u.zone for d in settings.databases for u in d.upstreams})
    async with fleets.running(settings, setup.site(), zones) as fleet:
        for process in fleet.proxies.values():
            await wait_ready(process, settings)
        await asyncio.sleep(SETTLE_TIME_S)
        yield fleet


async def run_phase(
    fleet: fleets.Fleet, setup: Setup, phase: str, seed: int
) -> list[samples.Sample]:
    """Runs one phase with its load and faults, and returns its samples."""
    streams = setup.plan.streams
    total_rate = sum(setup.plan.rate(phase, name) for name in streams)
    generator_count = int(total_rate // MAX_RATE_PER_GENERATOR) + 1
    sample_paths = [
        fleet.folder / f"{phase}-{n}.jsonl" for n in range(generator_count)
    ]
    generators = [
        await _start_generator(
            fleet, setup, phase, seed, number, generator_count, sample_path
        )
        for number, sample_path in enumerate(sample_paths)
    ]
    await _inject_faults(fleet, setup.plan.phases[phase])
    for generator in generators:
        await generator.wait()
    await _clear_faults(fleet)
    return [
        sample
        for sample_path in sample_paths
        for sample in samples.read(sample_path)
    ]


async def _start_generator(
    fleet: fleets.Fleet,
    setup: Setup,
    phase: str,
    seed: int,
    number: int,
    generator_count: int,
    sample_path: pathlib.Path,
) -> asyncio.subprocess.Process:
    addresses = [p.address for p in fleet.proxies.values()]
    database_names = [d.name for d in fleet.document.databases]
    command = [sys.executable, "-m", "fescueshunt_cli", "bench"]
    command += [str(setup.plan_path), phase, str(sample_path)]
    command += ["--addresses", *addresses, "--databases", *database_names]
    command += ["--seed", str(seed), "--number", str(number)]
    command += ["--parts", str(generator_count)]
    return await asyncio.create_subprocess_exec(
        *command, stdout=asyncio.subprocess.PIPE
    )


async def _inject_faults(fleet: fleets.Fleet, phase: plan.PhaseModel) -> None:
    if phase.lag_s:
        set_lag = platform.SetFault(lag_s=phase.lag_s)
        for process in fleet.upstreams.values():
            await fleet.call_stand_in(process, set_lag)
    if phase.store_down:
        await fleet.call_stand_in(fleet.platform, platform.SetFault(down=True))
    if phase.kill_primary:
        await asyncio.sleep(FAULT_DELAY_S)
        for database in fleet.document.databases:
            primary = await _find_primary(fleet, database)
            primary.send(signal.SIGKILL)


async def _clear_faults(fleet: fleets.Fleet) -> None:
    for process in fleet.all_processes():
        if process.name in fleet.proxies or process.popen.poll() is not None:
            continue
        await fleet.call_stand_in(process, platform.SetFault())


async def _find_primary(
    fleet: fleets.Fleet, database: document.Database
) -> fleets.Process:
    for candidate in database.upstreams:
        process = fleet.upstreams[candidate.name]
        status = await fleet.call_stand_in(process, upstream.ReadStatus())
        if status.role is upstream.Role.PRIMARY:
            return process
    return fleet.upstreams[database.upstreams[0].name]


async def wait_ready(
    process: fleets.Process, settings: document.Document
) -> None:
    """Waits until the proxy `process` serves reads of all databases.

    Raises:
      TimeoutError: if it does not within READY_TIMEOUT_S.
    """
    service = next(s for s in settings.services if s.max_age_s is not None)
    async with (
        asyncio.timeout(READY_TIMEOUT_S),
        caller.session(process.address, "ready") as session,
    ):
        for database in settings.databases:
            while (
                await session.read(service.name, database.name, PROBE_STATEMENT)
            ).error:
                await asyncio.sleep(READY_POLL_INTERVAL_S)
