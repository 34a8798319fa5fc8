"""Failover on real processes, checked against the final table."""

import asyncio
import signal

from fescueshunt.core import position
from fescueshunt_cli._internal.bench import writers
from fescueshunt_standins import fleet as fleets
from fescueshunt_wire import platform
from lib import deployments

FIRST = "renew-1-a"
WARM_S = 1.0
GAP_LIMIT_S = 10.0
AFTER_S = 4.0


def proxies(fleet: fleets.Fleet) -> list[str]:
    return [process.address for process in fleet.proxies.values()]


async def write_through_failure(
    fleet: fleets.Fleet, number: signal.Signals
) -> writers.WriteLog:
    """Writes, sends the primary a signal, and returns all outcomes."""
    clock = asyncio.get_running_loop().time
    async with writers.steady_writers(
        proxies(fleet), deployments.WRITE_SERVICE, deployments.DATABASE
    ) as written:
        await asyncio.sleep(WARM_S)
        struck_at = clock()
        fleet.upstreams[FIRST].send_signal(number)
        await asyncio.sleep(AFTER_S)
        assert max(written.done.values()) > struck_at + 1.0
        assert written.longest_gap_after(struck_at) < GAP_LIMIT_S
    return written


async def check_table(fleet: fleets.Fleet, written: writers.WriteLog) -> None:
    rows = await deployments.read_rows(proxies(fleet)[0])
    assert written.find_contradictions(rows) == []


def test_a_killed_primary_is_replaced_and_no_write_is_lost():
    async def run() -> None:
        async with deployments.running() as fleet:
            written = await write_through_failure(fleet, signal.SIGKILL)
            await check_table(fleet, written)
            assert deployments.log_lines(fleet, "promoted")

    asyncio.run(run())


def test_a_paused_primary_is_demoted_and_follows():
    async def run() -> None:
        async with deployments.running() as fleet:
            written = await write_through_failure(fleet, signal.SIGSTOP)
            fleet.upstreams[FIRST].send_signal(signal.SIGCONT)
            found = await deployments.wait_following(
                fleet, FIRST, position.FIRST_TERM
            )
            await check_table(fleet, written)
            leader = await deployments.read_status(
                fleet, found_primary(fleet, found.primary)
            )
            assert found.history.common_end(leader.history) == found.history.end

    asyncio.run(run())


def found_primary(fleet: fleets.Fleet, address: str) -> str:
    names = {p.address: p.name for p in fleet.upstreams.values()}
    return names[address]


def test_failover_needs_no_store():
    async def run() -> None:
        async with deployments.running() as fleet:
            down = platform.SetFault(down=True)
            await fleet.call_stand_in(fleet.platform, down)
            written = await write_through_failure(fleet, signal.SIGKILL)
            await check_table(fleet, written)

    asyncio.run(run())
