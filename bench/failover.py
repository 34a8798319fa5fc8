"""Measures write gaps at failover, and latencies: `python -m bench.failover`.

Each kill or pause of a primary runs on a new deployment of real processes. The
write gap is the longest time after the signal in which no writer has a write
acknowledged.
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
DEPLOYMENT_PATH = ROOT / "config" / "sahil-om-muscat.ini"
DATABASE = "renew-1"
MAJORITY_ACK_SERVICE = "renew-card"
PRIMARY_ACK_SERVICE = "renew-card-weak"
ZONES = ("mct-ruwi", "mct-seeb", "mct-qurum", "mct-bawshar")
WARMUP_S = 3.0
OBSERVATION_S = 5.0
LATENCY_RUN_S = 5.0
MS_PER_S = 1000
WARMUP_STATEMENT = request.Statement("INSERT INTO written VALUES ('warm')")
SITE = fleets.FleetOptions(schema_sql=writers.SCHEMA, list_lag_ms=0.0)


def make_settings() -> document.Document:
    """Returns settings with one database and a service of weaker durability.

    Writes of the added service are acknowledged by the primary alone, so a
    failover may lose them.
    """
    settings = deployment.load(DEPLOYMENT_PATH)
    majority_service = settings.service(MAJORITY_ACK_SERVICE)
    primary_service = dataclasses.replace(
        majority_service,
        name=PRIMARY_ACK_SERVICE,
        durability=document.Durability.PRIMARY,
    )
    return dataclasses.replace(
        settings,
        databases=settings.databases[:1],
        services=(*settings.services, primary_service),
    )


async def wait_writable(fleet: fleets.Fleet) -> None:
    """Waits until a write succeeds through each proxy."""
    for process in fleet.proxies.values():
        async with caller.session(process.address) as session:
            while (
                await session.write(
                    MAJORITY_ACK_SERVICE, DATABASE, WARMUP_STATEMENT
                )
            ).error:
                await asyncio.sleep(writers.RECONNECT_DELAY_S)


def proxy_addresses(fleet: fleets.Fleet) -> list[str]:
    """Returns the addresses at which the proxies accept callers."""
    return [process.address for process in fleet.proxies.values()]


async def measure_gap(signal_number: signal.Signals) -> float:
    """Sends the primary a signal and returns the write gap in seconds."""
    clock = asyncio.get_running_loop().time
    async with fleets.running(make_settings(), SITE, ZONES) as fleet:
        await wait_writable(fleet)
        async with writers.steady_writers(
            proxy_addresses(fleet), MAJORITY_ACK_SERVICE, DATABASE
        ) as write_log:
            await asyncio.sleep(WARMUP_S)
            signalled_at = clock()
            primary = fleet.document.databases[0].upstreams[0].name
            fleet.upstreams[primary].send_signal(signal_number)
            await asyncio.sleep(OBSERVATION_S)
            ended_at = clock()
    last_write_at = max(write_log.done.values())
    return max(
        write_log.longest_gap_after(signalled_at),
        ended_at - max(last_write_at, signalled_at),
    )


async def measure_latency(service: str) -> list[float]:
    """Returns the sorted write latencies without faults, in seconds."""
    async with fleets.running(make_settings(), SITE, ZONES) as fleet:
        await wait_writable(fleet)
        async with writers.steady_writers(
            proxy_addresses(fleet)[:2], service, DATABASE
        ) as write_log:
            await asyncio.sleep(LATENCY_RUN_S)
    return sorted(write_log.latencies)


def print_durations(title: str, values: list[float]) -> None:
    """Prints the median, p99 and maximum of `values`, which are in seconds."""
    ordered = sorted(values)
    p99_index = min(int(len(ordered) * 0.99), len(ordered) - 1)
    median_p99_worst_s = (
        statistics.median(ordered),
        ordered[p99_index],
        ordered[-1],
    )
    text = " / ".join(f"{value * MS_PER_S:.1f}" for value in median_p99_worst_s)
    print(f"{title}: n={len(ordered)} median/p99/worst {text} ms", flush=True)


async def run_all(kills: int, pauses: int) -> None:
    """Runs all measurements and prints their results."""
    print_durations(
        "kill -9", [await measure_gap(signal.SIGKILL) for _ in range(kills)]
    )
    print_durations(
        "SIGSTOP", [await measure_gap(signal.SIGSTOP) for _ in range(pauses)]
    )
    print_durations(
        "write, majority", await measure_latency(MAJORITY_ACK_SERVICE)
    )
    print_durations(
        "write, primary", await measure_latency(PRIMARY_ACK_SERVICE)
    )


def main(*, kills: int = 5, pauses: int = 3) -> None:
    """Measures write gaps and the latency cost of majority acknowledgement.

    Args:
      kills: the number of deployments whose primary is killed.
      pauses: the number of deployments whose primary is paused by SIGSTOP.
    """
    asyncio.run(run_all(kills, pauses))


if __name__ == "__main__":
    defopt.run(main)
