"""Rolling restart of all proxies under load.

Real processes show that no request is lost, however slow the machine is; the
simulated cluster shows that none is slow, as its clock is virtual.
"""

import asyncio
import collections
import random
import signal

import pytest

from fescueshunt import errors
from fescueshunt.core import process, request
from fescueshunt.request import drain, ledger
from fescueshunt_cli import caller, roaming
from fescueshunt_standins import fleet as fleets
from lib import scenarios, simulated_network, simulated_settings, simulation

SITE = fleets.FleetOptions(
    schema_sql="CREATE TABLE hit (tag TEXT NOT NULL)", proxies_per_zone=1
)
ZONES = simulated_settings.ZONES
CALLERS = 6
PAUSE_S = 0.02
READY_TIMEOUT_S = 30.0
SHUTDOWN_TIMEOUT_S = 60.0
SELECT_TAGS = request.Statement("SELECT tag FROM hit")
# The timeout that the caller library gives a request.
TIMEOUT_S = 5.0
INSERT_SQL = "INSERT INTO hit VALUES (?)"


async def wait_ready(process: fleets.Process) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        while not await is_ready(process):
            await asyncio.sleep(PAUSE_S)


async def is_ready(process: fleets.Process) -> bool:
    try:
        async with caller.session(process.address) as session:
            answer = await session.read("look", "db", SELECT_TAGS)
    except errors.ConnectionLostError:
        return False
    return answer.error is None


async def run_caller(
    addresses: list[str],
    name: str,
    timeout_s: float,
    stop: asyncio.Event,
    answers: list,
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
                _request(request.Kind.WRITE, insert, timeout_s)
            )
            select = request.Statement(
                SELECT_TAGS.sql + " WHERE tag = ?", (tag,)
            )
            read_answer = await roaming_caller.send(
                _request(request.Kind.READ, select, timeout_s)
            )
            answers.append((tag, write_answer, read_answer))
            await asyncio.sleep(PAUSE_S)


def _request(
    kind: request.Kind, statement: request.Statement, timeout_s: float
):
    service = "pay" if kind is request.Kind.WRITE else "look"
    return request.Request(
        caller.new_request_id(),
        service,
        "db",
        kind,
        (statement,),
        timeout_s=timeout_s,
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


async def run(timeout_s: float) -> tuple[list[int], list, list[str]]:
    answers: list = []
    stop = asyncio.Event()
    async with fleets.running(
        simulated_settings.SETTINGS, SITE, ZONES
    ) as fleet:
        for process in fleet.proxies.values():
            await wait_ready(process)
        addresses = [p.address for p in fleet.proxies.values()]
        async with asyncio.TaskGroup() as tasks:
            for number in range(CALLERS):
                tasks.create_task(
                    run_caller(
                        addresses, f"caller-{number}", timeout_s, stop, answers
                    )
                )
            exit_codes = [await restart(fleet, name) for name in fleet.proxies]
            stop.set()
        first = next(iter(fleet.proxies.values()))
        async with caller.session(first.address) as session:
            rows = (
                (await session.read("look", "db", SELECT_TAGS)).results[0].rows
            )
    return exit_codes, answers, [row[0] for row in rows]


@pytest.mark.parametrize("timeout_s", [TIMEOUT_S, ledger.MAX_TIMEOUT_S])
def test_no_write_is_lost_or_run_twice_and_no_request_fails(timeout_s):
    exit_codes, answers, rows = asyncio.run(run(timeout_s))
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


class SimulatedCaller:
    """Sends one write after another, to another proxy if one is stopping.

    Attributes:
      latencies_s: the time from the first attempt to the answer of each write.
      failed: the answers with an error.
    """

    def __init__(
        self, cluster: simulation.SimulatedCluster, number: int
    ) -> None:
        self.latencies_s: list[float] = []
        self.failed: list[request.Answer] = []
        self._proxy = ""
        self._seq: int | None = None
        self._cluster = cluster
        self._number = number
        self._begin()

    def _begin(self) -> None:
        tag = f"caller-{self._number}-{len(self.latencies_s)}"
        self._req = scenarios.write_request(self._cluster, tag, caller=tag)
        self._begun_at = self._cluster.now + PAUSE_S
        self._seq = None

    def _send(self) -> None:
        proxies = sorted(self._cluster.proxies)
        self._proxy = proxies[self._number % len(proxies)]
        self._seq = self._cluster.send(self._proxy, self._number, self._req)

    def poll(self) -> None:
        """Handles the answer, if there is one; sends the next write later."""
        if self._cluster.now < self._begun_at:
            return
        if self._seq is None:
            self._send()
        key = (self._proxy, self._number, self._seq)
        answer = self._cluster.answers.get(key)
        if answer is None:
            return
        if isinstance(answer.error, errors.StoppingError):
            self._number += 1
            self._send()
            return
        if answer.error is not None:
            self.failed.append(answer)
        self.latencies_s.append(self._cluster.now - self._begun_at)
        self._begin()


# Guards against a planned stop that delays requests, though it loses none.
def test_rolling_restart_delays_no_write_beyond_its_target():
    cluster = simulation.SimulatedCluster(proxies=len(ZONES))
    callers = [SimulatedCaller(cluster, n) for n in range(CALLERS)]

    def run_callers(seconds: float) -> None:
        until = cluster.now + seconds
        while cluster.now < until:
            cluster.run(simulated_network.HOP_DELAY_S)
            for each in callers:
                each.poll()

    for name in list(cluster.proxies):
        cluster.feed(name, process.StopAsked(cluster.now))
        run_callers(drain.MIN_DRAIN_S + simulation.WARM_UP_S)
        assert name not in cluster.proxies
        cluster.start(name)
        run_callers(simulation.WARM_UP_S)
    (target_s,) = {
        rank.target_s
        for rank in simulated_settings.SETTINGS.ranks
        if rank.name == simulated_settings.SETTINGS.service("pay").rank
    }
    assert [each.failed for each in callers] == [[]] * CALLERS
    latencies_s = [s for each in callers for s in each.latencies_s]
    assert len(latencies_s) > CALLERS * len(ZONES)
    assert max(latencies_s) <= target_s
