"""Measures the overhead of a proxy: `python -m bench.cost`."""

from __future__ import annotations

import asyncio
import dataclasses
import sys
import time
from typing import TYPE_CHECKING

import psutil

from bench import deploy
from fescueshunt.core import position, request, upstream
from fescueshunt_cli import caller
from fescueshunt_cli._internal import deployment
from fescueshunt_standins import fleet as fleets
from fescueshunt_wire import channel

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Call = Callable[[], Awaitable[object]]

DEPLOYMENT_PATH = deploy.ROOT / "config" / "sahil-om-muscat.ini"
SITE = fleets.FleetOptions(
    statement_ms=0.0,
    schema_sql=deploy.SCHEMA,
    proxies_per_zone=1,
    proxy=(("trace_file", ""),),
)
LATENCY_CALLS = 600
REPETITIONS = 3
WORKERS = 32
LOAD_DURATION_S = 3.0
CALL_TIMEOUT_S = 5.0
MS_PER_S = 1e3
SERVICE = "gate-status"
READ_CALL = upstream.Execute(
    upstream.Mode.READ, position.NO_TERM, (deploy.PROBE_STATEMENT,)
)


async def main() -> int:
    """Prints latency and throughput of direct calls and calls via a proxy."""
    settings = deployment.load(DEPLOYMENT_PATH)
    settings = dataclasses.replace(settings, databases=settings.databases[:1])
    database = settings.databases[0]
    replica = database.upstreams[1]
    async with fleets.running(settings, SITE, (replica.zone,)) as fleet:
        proxy = next(iter(fleet.proxies.values()))
        upstream_process = fleet.upstreams[replica.name]
        await deploy.wait_ready(proxy, fleet.document)
        await asyncio.sleep(deploy.SETTLE_TIME_S)
        async with (
            channel.connect(upstream_process.address) as direct,
            caller.session(proxy.address, "cost") as session,
        ):
            hello = upstream.Hello("cost", replica.zone)
            await direct.call(hello, CALL_TIMEOUT_S)

            async def call_direct() -> object:
                return await direct.call(READ_CALL, CALL_TIMEOUT_S)

            async def call_proxy() -> request.Answer:
                return await session.read(
                    SERVICE, database.name, deploy.PROBE_STATEMENT
                )

            await _measure_latencies(call_direct, call_proxy)
            await _measure_throughput("direct", call_direct, upstream_process)
            await _measure_throughput("proxy", call_proxy, proxy)
    return 0


async def _measure_latencies(direct: Call, proxied: Call) -> None:
    latencies_ms: dict[str, list[float]] = {"direct": [], "proxy": []}
    for _ in range(REPETITIONS):
        for name, call in (("direct", direct), ("proxy", proxied)):
            for _ in range(LATENCY_CALLS // REPETITIONS):
                start = time.perf_counter()
                await call()
                latencies_ms[name].append(
                    (time.perf_counter() - start) * MS_PER_S
                )
    for quantile in (0.5, 0.99):
        percentiles_ms = {
            k: sorted(v)[int(len(v) * quantile)]
            for k, v in latencies_ms.items()
        }
        ratio = percentiles_ms["proxy"] / percentiles_ms["direct"]
        print(
            f"p{quantile * 100:.0f}: direct {percentiles_ms['direct']:.2f} ms, "
            f"proxy {percentiles_ms['proxy']:.2f} ms, ratio {ratio:.1f}"
        )


async def _measure_throughput(
    name: str, call: Call, process: fleets.Process
) -> None:
    process_info = psutil.Process(process.popen.pid)
    cpu_before = process_info.cpu_times()
    deadline = time.perf_counter() + LOAD_DURATION_S

    async def worker() -> int:
        count = 0
        while time.perf_counter() < deadline:
            await call()
            count += 1
        return count

    counts = await asyncio.gather(*(worker() for _ in range(WORKERS)))
    cpu_after = process_info.cpu_times()
    cpu_s = (
        cpu_after.user + cpu_after.system - cpu_before.user - cpu_before.system
    )
    print(
        f"{name}: {sum(counts) / LOAD_DURATION_S:.0f} statements/s, "
        f"{sum(counts) / cpu_s:.0f} statements per CPU second"
    )


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
