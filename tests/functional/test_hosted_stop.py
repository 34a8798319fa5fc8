"""Clients of host processes that stop while statements arrive.

Each run stops a host of its own. `STOP_RUNS` sets the number of runs with
random arrivals, `STOP_SEED` the seed of the first.
"""

from __future__ import annotations

import asyncio
import dataclasses
import os
import random
import signal
import subprocess

from fescueshunt_standins.hosted import deployment
from lib import stop_load

RUNS = int(os.environ.get("STOP_RUNS", "2"))
SEED = int(os.environ.get("STOP_SEED", "1"))
HOSTS_PER_DEPLOYMENT = 2
STATEMENT_DURATION_S = 0.05
STOP_TIMEOUT_S = 8.0
LEAD_S = 0.3
# The last sessions that a load balancer sends here, and some later ones.
FIRST_ARRIVAL_S = 2.3
LAST_ARRIVAL_S = 2.8
DENSE_INTERVAL_S = 0.003
# A session that ends before the last arrivals, so that some statements run.
EARLY_SESSION_END_S = 1.0
LOG_CHARS = 6000
STAGGER_S = 0.011
MEAN_GAPS_S = (0.012, 0.025, 0.05)
# While sessions close behind their next answer and the listener is open.
DRAINING_S = 2.6
LONG_STATEMENT_S = 0.2
# Statements that a client sends without waiting for answers; pauses in seconds.
SENT_AHEAD = {
    "first needs no upstream": (("SET z 1", "READ a", "WRITE a 1"), 0.0),
    "whole transaction": (("BEGIN", "WRITE a 2", "COMMIT"), 0.0),
    "at once": (("READ a",) * 4, 0.0),
    "with pauses": (("READ a",) * 4, 0.05),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Arrivals:
    """The clients of one stopping host; times are seconds after SIGTERM.

    Attributes:
      starts: when the sessions of one statement start.
      route: the route of these sessions.
      long_session_count: the sessions that are open before SIGTERM and go on.
      transaction_count: the sessions that run transactions meanwhile.
    """

    starts: list[float]
    route: str = stop_load.REPLICA_ROUTE
    long_session_count: int = 0
    transaction_count: int = 0


async def _stop_under_load(
    host: deployment.HostProcess, name: str, arrivals: Arrivals
) -> stop_load.StopLoad:
    """Stops a host while clients arrive; returns their records."""
    stop_at = asyncio.get_running_loop().time() + LEAD_S
    load = stop_load.StopLoad(name, host.session_address, stop_at)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(load.run_long_session(-LEAD_S, EARLY_SESSION_END_S))
        for number in range(arrivals.long_session_count):
            start_s = number * STAGGER_S - LEAD_S
            tasks.create_task(load.run_long_session(start_s, STOP_TIMEOUT_S))
        for number in range(arrivals.transaction_count):
            start_s = number * STAGGER_S - LEAD_S
            tasks.create_task(load.run_transactions(start_s))
        for start_s in arrivals.starts:
            tasks.create_task(load.run_short_session(start_s, arrivals.route))
        await asyncio.sleep(LEAD_S)
        host.popen.send_signal(signal.SIGTERM)
        try:
            code = await asyncio.to_thread(host.popen.wait, STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            print(host.log_path.read_text()[-LOG_CHARS:])
            raise
    assert code == 0
    return load


async def _find_lost(arrivals_by_host: dict[str, Arrivals]) -> list[str]:
    """Stops one host for each entry, all at once.

    Returns:
      Descriptions of the statements that were lost.
    """
    async with deployment.running(
        len(arrivals_by_host), statement_duration_s=STATEMENT_DURATION_S
    ) as deployed:
        loads = await asyncio.gather(
            *(
                _stop_under_load(host, name, arrivals)
                for host, (name, arrivals) in zip(
                    deployed.hosts, arrivals_by_host.items(), strict=True
                )
            )
        )
        received_ids = await deployed.read_statement_ids()
        for host, load in zip(deployed.hosts, loads, strict=True):
            if load.lost(received_ids):
                print(host.log_path.read_text()[-LOG_CHARS:])
    assert received_ids
    return [
        statement.describe()
        for load in loads
        for statement in load.lost(received_ids)
    ]


# Failure: a host that stops under steady arrivals cuts sessions whose first
# statement is on its way or in flight.
def test_stopping_host_answers_every_statement_of_dense_arrivals():
    starts = stop_load.dense_starts(
        FIRST_ARRIVAL_S, LAST_ARRIVAL_S, DENSE_INTERVAL_S
    )
    arrivals = Arrivals(starts, long_session_count=3, transaction_count=2)
    assert asyncio.run(_find_lost({"dense": arrivals})) == []


# Failure: a host without sessions decides to exit, still accepts a session, and
# cuts its statement while the upstream runs it.
def test_exiting_host_answers_statements_of_sparse_arrivals():
    lost: list[str] = []
    for seed in range(SEED, SEED + RUNS):
        rng = random.Random(seed)
        arrivals_by_host = {
            f"run{seed}-{number}": _sparse_arrivals(rng)
            for number in range(HOSTS_PER_DEPLOYMENT)
        }
        lost += asyncio.run(_find_lost(arrivals_by_host))
    assert lost == []


def _sparse_arrivals(rng: random.Random) -> Arrivals:
    starts = stop_load.sparse_starts(
        rng, FIRST_ARRIVAL_S, LAST_ARRIVAL_S, rng.choice(MEAN_GAPS_S)
    )
    route = rng.choice((stop_load.REPLICA_ROUTE, stop_load.PRIMARY_ROUTE))
    return Arrivals(starts, route)


async def _send_ahead(
    address: str, texts: tuple[str, ...], interval_s: float
) -> int:
    """Sends statements to a draining host; returns the number of answers."""
    async with deployment.session(address, stop_load.PRIMARY_ROUTE) as client:
        await asyncio.sleep(LEAD_S + DRAINING_S)
        lines = [
            f"QUERY {deployment.next_statement_id()} {text}\r\n".encode()
            for text in texts
        ]
        # Without pauses, in one write, so that they arrive together.
        for data in lines if interval_s else [b"".join(lines)]:
            client.writer.write(data)
            await asyncio.sleep(interval_s)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return (await client.reader.read()).count(stop_load.READY)


async def _count_answers_to_sent_ahead() -> dict[str, int]:
    async with deployment.running(
        1, statement_duration_s=LONG_STATEMENT_S
    ) as deployed:
        (host,) = deployed.hosts
        address = host.session_address
        async with asyncio.TaskGroup() as tasks:
            clients = {
                name: tasks.create_task(_send_ahead(address, texts, interval_s))
                for name, (texts, interval_s) in SENT_AHEAD.items()
            }
            # An open transaction keeps the listener, so idle sessions stay.
            async with deployment.session(
                address, stop_load.PRIMARY_ROUTE
            ) as holder:
                await holder.execute("BEGIN")
                await asyncio.sleep(LEAD_S)
                host.popen.send_signal(signal.SIGTERM)
                await holder.reader.read()
    return {name: client.result() for name, client in clients.items()}


# Failure: a stopping host closes a session behind an answer though the client
# has sent more meanwhile, which gets no answer.
def test_stopping_host_answers_statements_sent_ahead():
    counts = asyncio.run(_count_answers_to_sent_ahead())
    assert counts == {
        name: len(texts) for name, (texts, _) in SENT_AHEAD.items()
    }
