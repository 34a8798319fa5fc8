"""Rolling restart of all proxies under load, on real processes."""

import asyncio
import collections
import random
import signal

from fescueshunt.core import request
from fescueshunt_cli import caller, roaming
from fescueshunt_standins import fleet as fleets
from lib import simulation

SITE = fleets.FleetOptions(
    schema_sql="CREATE TABLE hit (tag TEXT NOT NULL)", proxies_per_zone=1
)
ZONES = simulation.ZONES
CALLERS = 6
PAUSE_S = 0.02
READY_TIMEOUT_S = 30.0
SHUTDOWN_TIMEOUT_S = 60.0
SELECT_TAGS = request.Statement("SELECT tag FROM hit")
INSERT_SQL = "INSERT INTO hit VALUES (?)"


async def wait_ready(process: fleets.Process) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        async with caller.session(process.address) as session:
            while (await session.read("look", "db", SELECT_TAGS)).error:
                await asyncio.sleep(PAUSE_S)


async def run_caller(
    addresses: list[str], name: str, stop: asyncio.Event, answers: list
) -> None:
    """Writes rows and reads each back, on any proxy, until `stop` is set.

    Appends the tag and both answers of each row to `answers`.
    """
    rng = random.Random(name)
    count = 0
    async with roaming.roaming_session(addresses, rng, name) as roaming_caller:
        while not stop.is_set():
            count += 1
            tag = f"{name}-{count}"
            insert = request.Statement(INSERT_SQL, (tag,))
            write_answer = await roaming_caller.send(
                _request(request.Kind.WRITE, insert)
            )
            select = request.Statement(
                SELECT_TAGS.sql + " WHERE tag = ?", (tag,)
            )
            read_answer = await roaming_caller.send(
                _request(request.Kind.READ, select)
            )
            answers.append((tag, write_answer, read_answer))
            await asyncio.sleep(PAUSE_S)


def _request(kind: request.Kind, statement: request.Statement):
    service = "pay" if kind is request.Kind.WRITE else "look"
    return request.Request(
        caller.new_request_id(), service, "db", kind, (statement,)
    )


async def restart(fleet: fleets.Fleet, name: str) -> int:
    """Restarts a proxy; returns the exit code of its graceful shutdown."""
    process = fleet.proxies[name]
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGTERM)
    exit_code = await asyncio.to_thread(process.popen.wait, SHUTDOWN_TIMEOUT_S)
    # Runs in a thread, as a start takes seconds on a busy machine and the
    # callers share this event loop.
    started = await asyncio.to_thread(fleets.restart_proxy, fleet, name)
    await wait_ready(started)
    return exit_code


async def run() -> tuple[list[int], list, list[str]]:
    answers: list = []
    stop = asyncio.Event()
    async with fleets.running(simulation.SETTINGS, SITE, ZONES) as fleet:
        for process in fleet.proxies.values():
            await wait_ready(process)
        addresses = [p.address for p in fleet.proxies.values()]
        async with asyncio.TaskGroup() as tasks:
            for number in range(CALLERS):
                tasks.create_task(
                    run_caller(addresses, f"caller-{number}", stop, answers)
                )
            exit_codes = [await restart(fleet, name) for name in fleet.proxies]
            stop.set()
        first = next(iter(fleet.proxies.values()))
        async with caller.session(first.address) as session:
            rows = (
                (await session.read("look", "db", SELECT_TAGS)).results[0].rows
            )
    return exit_codes, answers, [row[0] for row in rows]


def test_no_write_is_lost_or_run_twice_and_no_request_fails():
    exit_codes, answers, rows = asyncio.run(run())
    assert exit_codes == [0] * len(ZONES)
    assert len(answers) > CALLERS
    assert [
        write_answer.error
        for _, write_answer, _ in answers
        if write_answer.error
    ] == []
    assert [
        read_answer.error for _, _, read_answer in answers if read_answer.error
    ] == []
    for tag, _, read_answer in answers:
        assert read_answer.results[0].rows == ((tag,),)
    counts = collections.Counter(rows)
    assert counts == collections.Counter(tag for tag, _, _ in answers)
