"""Benchmarks sessions on several hosts with faults: `python -m bench.hosted`.

The processes run over loopback: several hosts of this program, and the
simulated platform with its upstreams. The load is open-loop and seeded, so an
earlier version of the program (`--against`) gets the same arrivals. Each run
writes a report with a plot.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import json
import pathlib
import random
import statistics
import time

import defopt
import matplotlib as mpl

from fescueshunt_standins.hosted import deployment

mpl.use("Agg")
from matplotlib import pyplot  # noqa: E402

ROUTES = ("card-renew", "agent-history", "gate-status")
# The fraction of the statements of each route that are writes.
WRITE_SHARES = {"card-renew": 0.5, "agent-history": 0.1, "gate-status": 0.0}
TARGET_S = 0.5
ANSWER_TIMEOUT_S = 3.0
WINDOW_S = 1.0
PRIMARY_NAME = "u-a"
COLORS = {"in target": "tab:green", "late": "tab:olive", "refused": "tab:red"}
OTHER_COLOR = "tab:gray"


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A statement of the load; `at_s` is relative to the start of the load."""

    at_s: float
    route: str
    writes: bool
    host: int
    item: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of an arrival; `took_s` is its latency in seconds."""

    at_s: float
    route: str
    outcome: str
    took_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault, or the end of one, that is injected into an upstream."""

    at_s: float
    what: str
    upstream: str


def plan_arrivals(
    seed: int, rate: float, seconds: float, hosts: int
) -> list[Arrival]:
    """Returns arrivals of a Poisson process with `rate` per second."""
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    at_s = rng.expovariate(rate)
    while at_s < seconds:
        route = rng.choice(ROUTES)
        writes = rng.random() < WRITE_SHARES[route]
        host = rng.randrange(hosts)
        item = f"i{rng.randrange(100)}"
        arrivals.append(Arrival(at_s, route, writes, host, item))
        at_s += rng.expovariate(rate)
    return arrivals


def main(
    *,
    seed: int = 1,
    rate: float = 60.0,
    seconds: float = 12.0,
    hosts: int = 3,
    crash_at: float = 4.0,
    restart_at: float = 8.0,
    against: pathlib.Path | None = None,
    folder: pathlib.Path = pathlib.Path("target/bench/hosted"),
) -> int:
    """Runs the benchmark, and optionally compares with an earlier version.

    Args:
      seed: the seed of the load.
      rate: the mean arrival rate in statements per second.
      seconds: the duration of the load in seconds.
      hosts: the number of hosts.
      crash_at: when the primary crashes, in seconds from the start of the load.
      restart_at: when the primary restarts, in seconds from the same start.
      against: the source tree of an earlier version to run on the same load.
      folder: the folder in which the reports are written.

    Returns:
      The exit status, which is always 0.
    """
    arrivals = plan_arrivals(seed, rate, seconds, hosts)
    faults = [
        Fault(crash_at, "crash", PRIMARY_NAME),
        Fault(restart_at, "restart", PRIMARY_NAME),
    ]
    source_by_run = {"this": None} | ({"earlier": against} if against else {})
    folder.mkdir(parents=True, exist_ok=True)
    for name, source_tree in source_by_run.items():
        outcomes = asyncio.run(_run(arrivals, faults, hosts, source_tree))
        _write_report(folder, name, outcomes, faults)
    return 0


async def _run(
    arrivals: list[Arrival],
    faults: list[Fault],
    hosts: int,
    source_tree: pathlib.Path | None,
) -> list[Outcome]:
    outcomes: list[Outcome] = []
    async with deployment.running(hosts, source_tree) as hosted_deployment:
        start = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for fault in faults:
                tasks.create_task(
                    _inject_fault(hosted_deployment, fault, start)
                )
            for arrival in arrivals:
                await asyncio.sleep(start + arrival.at_s - time.monotonic())
                tasks.create_task(
                    _send_statement(hosted_deployment, arrival, outcomes)
                )
    return outcomes


async def _inject_fault(
    hosted_deployment: deployment.Deployment, fault: Fault, start: float
) -> None:
    await asyncio.sleep(start + fault.at_s - time.monotonic())
    await hosted_deployment.control_upstream(fault.what, fault.upstream)


async def _send_statement(
    hosted_deployment: deployment.Deployment,
    arrival: Arrival,
    outcomes: list[Outcome],
) -> None:
    text = f"READ {arrival.item}"
    if arrival.writes:
        text = f"WRITE {arrival.item} x"
    address = hosted_deployment.hosts[arrival.host].session_address
    sent_at = time.monotonic()
    try:
        async with (
            asyncio.timeout(ANSWER_TIMEOUT_S),
            deployment.session(address, arrival.route) as client,
        ):
            answer = await client.execute(text)
    except (OSError, TimeoutError, AssertionError) as exc:
        outcome = type(exc).__name__
    else:
        outcome = _classify_answer(answer, time.monotonic() - sent_at)
    took_s = time.monotonic() - sent_at
    outcomes.append(Outcome(arrival.at_s, arrival.route, outcome, took_s))


def _classify_answer(answer: list[str], took_s: float) -> str:
    status, _, rest = answer[-2].partition(" ")
    if status == "COMPLETE":
        return "in target" if took_s <= TARGET_S else "late"
    code = rest.partition(" ")[0]
    return "refused" if code == "BUSY" else code.lower()


def _write_report(
    folder: pathlib.Path,
    name: str,
    outcomes: list[Outcome],
    faults: list[Fault],
) -> None:
    counts = collections.Counter(entry.outcome for entry in outcomes)
    took_ms = sorted(entry.took_s * 1000 for entry in outcomes)
    summary = {
        "statements": len(outcomes),
        "outcomes": dict(counts),
        "p50_ms": round(statistics.median(took_ms), 1),
        "p99_ms": round(took_ms[int(len(took_ms) * 0.99)], 1),
        "faults": [dataclasses.asdict(fault) for fault in faults],
    }
    print(f"{name}: {json.dumps(summary)}")
    outcome_documents = [dataclasses.asdict(entry) for entry in outcomes]
    text = json.dumps(
        {"summary": summary, "outcomes": outcome_documents}, indent=1
    )
    (folder / f"{name}.json").write_text(text)
    _plot(folder / f"{name}.png", name, outcomes, faults)


def _plot(
    path: pathlib.Path, name: str, outcomes: list[Outcome], faults: list[Fault]
) -> None:
    window_count = max(int(entry.at_s / WINDOW_S) for entry in outcomes) + 1
    figure, axes = pyplot.subplots()
    bottom = [0] * window_count
    for label in sorted({entry.outcome for entry in outcomes}):
        counts = [0] * window_count
        for entry in outcomes:
            if entry.outcome == label:
                counts[int(entry.at_s / WINDOW_S)] += 1
        color = COLORS.get(label, OTHER_COLOR)
        axes.bar(
            range(window_count), counts, 1.0, bottom, label=label, color=color
        )
        bottom = [height + n for height, n in zip(bottom, counts, strict=True)]
    for fault in faults:
        axes.axvline(fault.at_s / WINDOW_S - 0.5, linestyle=":", color="k")
    axes.set_xlabel("seconds since the start of the load")
    axes.set_ylabel("statements per second")
    axes.set_title(name)
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)


if __name__ == "__main__":
    raise SystemExit(defopt.run(main))
