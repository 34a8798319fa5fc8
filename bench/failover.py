"""`python -m bench.failover`: write gaps of killed primaries, and latencies.

Each kill has its own deployment of real processes. The gap is the longest time
without an acknowledged write, over all writers, from the kill on.
"""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import signal
import statistics

import defopt

from fescueshunt.core import document, request
from fescueshunt_cli import caller
from fescueshunt_cli._internal import deployment
from fescueshunt_cli._internal.bench import writers
from fescueshunt_standins import fleet as fleets

ROOT = pathlib.Path(__file__).resolve().parents[1]
DEPLOYMENT = ROOT / "config" / "sahil-om-muscat.ini"
DATABASE = "renew-1"
SERVICE = "renew-card"
WEAK_SERVICE = "renew-card-weak"
ZONES = ("mct-ruwi", "mct-seeb", "mct-qurum", "mct-bawshar")
WARM_S = 3.0
AFTER_S = 5.0
STEADY_S = 5.0
MS_PER_S = 1000
WARM = request.Statement("INSERT INTO written VALUES ('warm')")
SITE = fleets.FleetOptions(schema_sql=writers.SCHEMA, list_lag_ms=0.0)


def declared() -> document.Document:
    """Returns the deployment's first database, and a service that may lose."""
    whole = deployment.load(DEPLOYMENT)
    strong = whole.service(SERVICE)
    weak = dataclasses.replace(
        strong, name=WEAK_SERVICE, durability=document.Durability.PRIMARY
    )
    return dataclasses.replace(
        whole,
        databases=whole.databases[:1],
        services=(*whole.services, weak),
    )


async def wait_written(fleet: fleets.Fleet) -> None:
    """Waits until a write succeeds through each proxy."""
    for process in fleet.proxies.values():
        async with caller.session(process.address) as session:
            while (await session.write(SERVICE, DATABASE, WARM)).error:
                await asyncio.sleep(writers.RECONNECT_DELAY_S)


def addresses(fleet: fleets.Fleet) -> list[str]:
    """Returns where the proxies serve callers."""
    return [process.address for process in fleet.proxies.values()]


async def measure_gap(number: signal.Signals) -> float:
    """Returns the write gap after the primary got a signal; seconds."""
    clock = asyncio.get_running_loop().time
    async with fleets.running(declared(), SITE, ZONES) as fleet:
        await wait_written(fleet)
        async with writers.steady_writers(
            addresses(fleet), SERVICE, DATABASE
        ) as written:
            await asyncio.sleep(WARM_S)
            struck_at = clock()
            primary = fleet.document.databases[0].upstreams[0].name
            fleet.upstreams[primary].send_signal(number)
            await asyncio.sleep(AFTER_S)
            ended_at = clock()
    last = max(written.done.values())
    return max(
        written.longest_gap_after(struck_at), ended_at - max(last, struck_at)
    )


async def measure_latency(service: str) -> list[float]:
    """Returns the latencies of steady writes; seconds, sorted."""
    async with fleets.running(declared(), SITE, ZONES) as fleet:
        await wait_written(fleet)
        async with writers.steady_writers(
            addresses(fleet)[:2], service, DATABASE
        ) as written:
            await asyncio.sleep(STEADY_S)
    return sorted(written.latencies)


def show(title: str, values: list[float]) -> None:
    """Prints median, p99 and worst in milliseconds."""
    ordered = sorted(values)
    place = min(int(len(ordered) * 0.99), len(ordered) - 1)
    figures = (statistics.median(ordered), ordered[place], ordered[-1])
    text = " / ".join(f"{value * MS_PER_S:.1f}" for value in figures)
    print(f"{title}: n={len(ordered)} median/p99/worst {text} ms", flush=True)


async def measure(kills: int, pauses: int) -> None:
    """Runs and prints every measurement."""
    show("kill -9", [await measure_gap(signal.SIGKILL) for _ in range(kills)])
    show("SIGSTOP", [await measure_gap(signal.SIGSTOP) for _ in range(pauses)])
    show("write, majority", await measure_latency(SERVICE))
    show("write, primary", await measure_latency(WEAK_SERVICE))


def main(*, kills: int = 5, pauses: int = 3) -> None:
    """Measures failover gaps and the price of the acknowledgement rule.

    Args:
      kills: primaries to kill.
      pauses: primaries to stop.
    """
    asyncio.run(measure(kills, pauses))


if __name__ == "__main__":
    defopt.run(main)
