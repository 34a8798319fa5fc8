"""What the proxy adds, against a direct connection: `python -m bench.cost`."""

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

DEPLOYMENT = deploy.ROOT / "config" / "sahil-om-muscat.ini"
SITE = fleets.FleetOptions(
    statement_ms=0.0,
    schema_sql=deploy.SCHEMA,
    proxies_per_zone=1,
    proxy=(("trace_file", ""),),
)
CALLS = 600
ROUNDS = 3
LANES = 32
BUSY_S = 3.0
TIMEOUT_S = 5.0
MS = 1e3
SERVICE = "gate-status"
READ = upstream.Execute(upstream.Mode.READ, position.NO_TERM, (deploy.PING,))


async def main() -> int:
    """Prints latencies and statements a second a core, and their ratios."""
    declared = deployment.load(DEPLOYMENT)
    declared = dataclasses.replace(declared, databases=declared.databases[:1])
    database = declared.databases[0]
    replica = database.upstreams[1]
    async with fleets.running(declared, SITE, (replica.zone,)) as fleet:
        proxy = next(iter(fleet.proxies.values()))
        stand_in = fleet.upstreams[replica.name]
        await deploy.wait_ready(proxy, fleet.document)
        await asyncio.sleep(deploy.SETTLE_S)
        async with (
            channel.connect(stand_in.address) as direct,
            caller.session(proxy.address, "cost") as session,
        ):
            hello = upstream.Hello("cost", replica.zone)
            await direct.call(hello, TIMEOUT_S)

            async def call_direct() -> object:
                return await direct.call(READ, TIMEOUT_S)

            async def call_proxy() -> request.Answer:
                return await session.read(SERVICE, database.name, deploy.PING)

            await _latencies(call_direct, call_proxy)
            await _throughput("direct", call_direct, stand_in)
            await _throughput("proxy", call_proxy, proxy)
    return 0


async def _latencies(direct: Call, proxied: Call) -> None:
    found: dict[str, list[float]] = {"direct": [], "proxy": []}
    for _ in range(ROUNDS):
        for name, call in (("direct", direct), ("proxy", proxied)):
            for _ in range(CALLS // ROUNDS):
                began = time.perf_counter()
                await call()
                found[name].append((time.perf_counter() - began) * MS)
    for share in (0.5, 0.99):
        at = {k: sorted(v)[int(len(v) * share)] for k, v in found.items()}
        ratio = at["proxy"] / at["direct"]
        print(
            f"p{share * 100:.0f}: direct {at['direct']:.2f} ms, "
            f"proxy {at['proxy']:.2f} ms, ratio {ratio:.1f}"
        )


async def _throughput(name: str, call: Call, process: fleets.Process) -> None:
    used = psutil.Process(process.popen.pid)
    before = used.cpu_times()
    ends = time.perf_counter() + BUSY_S

    async def lane() -> int:
        count = 0
        while time.perf_counter() < ends:
            await call()
            count += 1
        return count

    counts = await asyncio.gather(*(lane() for _ in range(LANES)))
    after = used.cpu_times()
    busy_s = after.user + after.system - before.user - before.system
    print(
        f"{name}: {sum(counts) / BUSY_S:.0f} statements/s, "
        f"{sum(counts) / busy_s:.0f} a second of its core"
    )


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
