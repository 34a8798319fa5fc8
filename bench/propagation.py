"""Measures the propagation of settings: `python -m bench.propagation`.

For each number of proxies, the benchmark measures the rate of store calls of an
idle fleet, and the time from the answer to a change until the change is in
force on all proxies.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import sys
from typing import TYPE_CHECKING

import defopt
import tabulate

from bench import deploy
from fescueshunt_cli._internal import admin_client, deployment
from fescueshunt_cli._internal.language import parse
from fescueshunt_standins import fleet as fleets
from fescueshunt_wire import platform

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ZONES = ("mct-ruwi", "mct-seeb", "mct-qurum", "mct-bawshar")
DEPLOYMENT_PATH = deploy.ROOT / "config" / "sahil-om-muscat.ini"
SETTLE_TIME_S = 8.0
IDLE_DURATION_S = 20.0
POLL_INTERVAL_S = 0.01
PROPAGATION_TIMEOUT_S = 30.0
CHANGE_COUNT = 5
TABLE_HEADERS = (
    "proxies",
    "settings reads/s",
    "host list reads/s",
    "in force on all, median s",
    "in force on all, worst s",
)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetResult:
    """The results for one number of proxies.

    `delays_s` has the propagation delay of each change in seconds.
    """

    proxies: int
    settings_reads_per_s: float
    host_list_reads_per_s: float
    delays_s: list[float]


def run(*, per_zone: list[int] = [1, 2, 4]) -> int:  # noqa: B006
    """Measures fleets of several sizes in four zones and prints a table.

    Args:
      per_zone: for each fleet, the number of proxies in each zone.

    Returns:
      The exit status, which is always 0.
    """
    results = [asyncio.run(_measure_fleet(count)) for count in per_zone]
    rows = [
        (
            result.proxies,
            f"{result.settings_reads_per_s:.2f}",
            f"{result.host_list_reads_per_s:.2f}",
            f"{sorted(result.delays_s)[len(result.delays_s) // 2]:.3f}",
            f"{max(result.delays_s):.3f}",
        )
        for result in results
    ]
    print(tabulate.tabulate(rows, TABLE_HEADERS, "github"))
    return 0


async def _measure_fleet(per_zone: int) -> FleetResult:
    settings = deployment.load(DEPLOYMENT_PATH)
    settings = dataclasses.replace(settings, databases=settings.databases[:1])
    site = fleets.FleetOptions(proxies_per_zone=per_zone, list_lag_ms=0.0)
    async with (
        fleets.running(settings, site, ZONES) as fleet,
        _connect_operators(fleet) as connections,
    ):
        await _wait_for_revision(connections, 1)
        await asyncio.sleep(SETTLE_TIME_S)
        counts_before = await _read_call_counts(fleet)
        await asyncio.sleep(IDLE_DURATION_S)
        counts_after = await _read_call_counts(fleet)
        delays_s = [
            await _measure_change(connections, number)
            for number in range(CHANGE_COUNT)
        ]
    return FleetResult(
        len(connections),
        (counts_after["Get"] - counts_before["Get"]) / IDLE_DURATION_S,
        (counts_after["ListHosts"] - counts_before["ListHosts"])
        / IDLE_DURATION_S,
        delays_s,
    )


@contextlib.asynccontextmanager
async def _connect_operators(
    fleet: fleets.Fleet,
) -> AsyncIterator[list[admin_client.AdminClient]]:
    async with contextlib.AsyncExitStack() as stack:
        yield [
            await stack.enter_async_context(
                admin_client.connect(
                    fleets.admin_address(process), fleets.CHANGER_TOKEN
                )
            )
            for process in fleet.proxies.values()
        ]


async def _read_call_counts(fleet: fleets.Fleet) -> dict[str, int]:
    reply = await fleet.call_stand_in(fleet.platform, platform.ReadCalls())
    return dict(reply.counts)


async def _measure_change(
    connections: list[admin_client.AdminClient], number: int
) -> float:
    """Changes a setting via one proxy and returns the propagation time.

    The time is in seconds, from the answer until the change is in force on all
    proxies.
    """
    action = "DRAIN" if number % 2 == 0 else "UNDRAIN"
    command = f"{action} HOST 'a-host-of-no-proxy'"
    statement = parse.parse_line(command).statement
    answer = await connections[number % len(connections)].execute(statement)
    if answer.error is not None:
        raise answer.error
    return await _wait_for_revision(connections, answer.revision)


async def _wait_for_revision(
    connections: list[admin_client.AdminClient], revision: int
) -> float:
    loop = asyncio.get_running_loop()
    start = loop.time()
    async with asyncio.timeout(PROPAGATION_TIMEOUT_S):
        for operator in connections:
            while await _read_revision(operator) < revision:
                await asyncio.sleep(POLL_INTERVAL_S)
    return loop.time() - start


async def _read_revision(operator: admin_client.AdminClient) -> int:
    answer = await operator.execute(parse.parse_line("SHOW settings").statement)
    if answer.error is not None:
        raise answer.error
    return answer.table.rows[0][0]


if __name__ == "__main__":
    sys.exit(defopt.run(run))
