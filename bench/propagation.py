"""How settings spread over real processes: `python -m bench.propagation`.

For each number of proxies: the store calls a second with nothing to do, and
the time from the answer to a change until it is in force on all of them.
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
DEPLOYMENT = deploy.ROOT / "config" / "sahil-om-muscat.ini"
SETTLE_S = 8.0
IDLE_S = 20.0
PAUSE_S = 0.01
DEADLINE_S = 30.0
CHANGES = 5
COLUMNS = (
    "proxies",
    "settings reads/s",
    "host list reads/s",
    "in force on all, median s",
    "in force on all, worst s",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """What was measured with one number of proxies."""

    proxies: int
    reads_per_s: float
    lists_per_s: float
    spread_s: list[float]


def run(*, per_zone: list[int] = [1, 2, 4]) -> int:  # noqa: B006
    """Measures fleets of four zones and prints a table.

    Args:
      per_zone: the numbers of proxies of a zone.
    """
    found = [asyncio.run(_measure(count)) for count in per_zone]
    rows = [
        (
            f.proxies,
            f"{f.reads_per_s:.2f}",
            f"{f.lists_per_s:.2f}",
            f"{sorted(f.spread_s)[len(f.spread_s) // 2]:.3f}",
            f"{max(f.spread_s):.3f}",
        )
        for f in found
    ]
    print(tabulate.tabulate(rows, COLUMNS, "github"))
    return 0


async def _measure(per_zone: int) -> Found:
    declared = deployment.load(DEPLOYMENT)
    declared = dataclasses.replace(declared, databases=declared.databases[:1])
    site = fleets.FleetOptions(proxies_per_zone=per_zone, list_lag_ms=0.0)
    async with (
        fleets.running(declared, site, ZONES) as fleet,
        _operators(fleet) as connected,
    ):
        await _until(connected, 1)
        await asyncio.sleep(SETTLE_S)
        before = await _calls(fleet)
        await asyncio.sleep(IDLE_S)
        after = await _calls(fleet)
        spread_s = [
            await _change(connected, number) for number in range(CHANGES)
        ]
    return Found(
        len(connected),
        (after["Get"] - before["Get"]) / IDLE_S,
        (after["ListHosts"] - before["ListHosts"]) / IDLE_S,
        spread_s,
    )


@contextlib.asynccontextmanager
async def _operators(
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


async def _calls(fleet: fleets.Fleet) -> dict[str, int]:
    counted = await fleet.call_stand_in(fleet.platform, platform.ReadCalls())
    return dict(counted.counts)


async def _change(
    connected: list[admin_client.AdminClient], number: int
) -> float:
    """Makes a change through one proxy; returns the seconds it spread."""
    verb = "DRAIN" if number % 2 == 0 else "UNDRAIN"
    text = f"{verb} HOST 'a-host-of-no-proxy'"
    asked = parse.parse_line(text).statement
    answer = await connected[number % len(connected)].execute(asked)
    if answer.error is not None:
        raise answer.error
    return await _until(connected, answer.revision)


async def _until(
    connected: list[admin_client.AdminClient], revision: int
) -> float:
    loop = asyncio.get_running_loop()
    start = loop.time()
    async with asyncio.timeout(DEADLINE_S):
        for operator in connected:
            while await _revision(operator) < revision:
                await asyncio.sleep(PAUSE_S)
    return loop.time() - start


async def _revision(operator: admin_client.AdminClient) -> int:
    answer = await operator.execute(parse.parse_line("SHOW settings").statement)
    if answer.error is not None:
        raise answer.error
    return answer.table.rows[0][0]


if __name__ == "__main__":
    sys.exit(defopt.run(run))
