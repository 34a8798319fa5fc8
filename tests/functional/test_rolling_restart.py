"""A rolling restart of every proxy, under load, with real processes."""

import asyncio
import collections
import random
import signal

from fescueshunt.core import request
from fescueshunt_cli import caller, roaming
from fescueshunt_standins import fleet as fleets
from lib import world

SITE = fleets.FleetOptions(
    schema_sql="CREATE TABLE hit (tag TEXT NOT NULL)", proxies_per_zone=1
)
ZONES = world.ZONES
CALLERS = 6
PAUSE_S = 0.02
READY_S = 30.0
STOP_S = 60.0
SHOW = request.Statement("SELECT tag FROM hit")
ADD = "INSERT INTO hit VALUES (?)"


async def wait_ready(process: fleets.Process) -> None:
    async with asyncio.timeout(READY_S):
        async with caller.session(process.address) as session:
            while (await session.read("look", "db", SHOW)).error:
                await asyncio.sleep(PAUSE_S)


async def work(
    addresses: list[str], name: str, over: asyncio.Event, answers: list
) -> None:
    """Writes a row and reads it back, over and over, wherever it can."""
    chance = random.Random(name)
    count = 0
    async with roaming.roaming_session(addresses, chance, name) as roams:
        while not over.is_set():
            count += 1
            tag = f"{name}-{count}"
            add = request.Statement(ADD, (tag,))
            written = await roams.send(_request(request.Kind.WRITE, add))
            show = request.Statement(SHOW.sql + " WHERE tag = ?", (tag,))
            seen = await roams.send(_request(request.Kind.READ, show))
            answers.append((tag, written, seen))
            await asyncio.sleep(PAUSE_S)


def _request(kind: request.Kind, statement: request.Statement):
    service = "pay" if kind is request.Kind.WRITE else "look"
    return request.Request(
        caller.new_request_id(), service, "db", kind, (statement,)
    )


async def restart(fleet: fleets.Fleet, name: str) -> int:
    """Restarts one proxy; returns the exit code of its graceful stop."""
    process = fleet.proxies[name]
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGTERM)
    code = await asyncio.to_thread(process.popen.wait, STOP_S)
    # The callers share this loop, and a start takes seconds on a busy machine.
    started = await asyncio.to_thread(fleets.restart_proxy, fleet, name)
    await wait_ready(started)
    return code


async def run() -> tuple[list[int], list, list[str]]:
    answers: list = []
    over = asyncio.Event()
    async with fleets.running(world.SETTINGS, SITE, ZONES) as fleet:
        for process in fleet.proxies.values():
            await wait_ready(process)
        addresses = [p.address for p in fleet.proxies.values()]
        async with asyncio.TaskGroup() as tasks:
            for number in range(CALLERS):
                tasks.create_task(
                    work(addresses, f"caller-{number}", over, answers)
                )
            codes = [await restart(fleet, name) for name in fleet.proxies]
            over.set()
        first = next(iter(fleet.proxies.values()))
        async with caller.session(first.address) as session:
            rows = (await session.read("look", "db", SHOW)).results[0].rows
    return codes, answers, [row[0] for row in rows]


def test_nothing_is_lost_doubled_or_cut_off():
    codes, answers, rows = asyncio.run(run())
    assert codes == [0] * len(ZONES)
    assert len(answers) > CALLERS
    assert [written.error for _, written, _ in answers if written.error] == []
    assert [seen.error for _, _, seen in answers if seen.error] == []
    for tag, _, seen in answers:
        assert seen.results[0].rows == ((tag,),)
    counts = collections.Counter(rows)
    assert counts == collections.Counter(tag for tag, _, _ in answers)
