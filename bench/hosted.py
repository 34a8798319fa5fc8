"""`python -m bench.hosted`: sessions on hosts under load and a fault plan.

Real processes over loopback: the program as several hosts, the stand-in of the
platform and its upstreams. The load is open-loop and seeded, so an earlier
version of the program (`--against`) meets the same arrivals. A report with a
plot is written for each run.
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
# The share of each route's statements that write.
WRITES = {"card-renew": 0.5, "agent-history": 0.1, "gate-status": 0.0}
TARGET_S = 0.5
GIVE_UP_S = 3.0
WINDOW_S = 1.0
PRIMARY = "u-a"
COLORS = {"in target": "tab:green", "late": "tab:olive", "refused": "tab:red"}
OTHER_COLOR = "tab:gray"


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A statement of the load; `at_s` counts from the start of the load."""

    at_s: float
    route: str
    writes: bool
    host: int
    item: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of an arrival; `took_s` until its answer."""

    at_s: float
    route: str
    outcome: str
    took_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """An act on an upstream of the stand-in."""

    at_s: float
    what: str
    upstream: str


def plan(seed: int, rate: float, seconds: float, hosts: int) -> list[Arrival]:
    """Returns the arrivals of a run, Poisson at `rate` a second."""
    chance = random.Random(seed)
    arrivals: list[Arrival] = []
    at_s = chance.expovariate(rate)
    while at_s < seconds:
        route = chance.choice(ROUTES)
        writes = chance.random() < WRITES[route]
        host = chance.randrange(hosts)
        item = f"i{chance.randrange(100)}"
        arrivals.append(Arrival(at_s, route, writes, host, item))
        at_s += chance.expovariate(rate)
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
    """Runs the program, and an earlier version if asked to, on one load.

    Args:
      seed: of the load.
      rate: statements a second.
      seconds: how long the load lasts.
      hosts: how many hosts.
      crash_at: when the primary crashes; seconds from the start of the load.
      restart_at: when it comes back.
      against: the tree of an earlier version.
      folder: where the reports go.
    """
    arrivals = plan(seed, rate, seconds, hosts)
    faults = [
        Fault(crash_at, "crash", PRIMARY),
        Fault(restart_at, "restart", PRIMARY),
    ]
    runs = {"this": None} | ({"earlier": against} if against else {})
    folder.mkdir(parents=True, exist_ok=True)
    for name, sources in runs.items():
        found = asyncio.run(_run(arrivals, faults, hosts, sources))
        _report(folder, name, found, faults)
    return 0


async def _run(
    arrivals: list[Arrival],
    faults: list[Fault],
    hosts: int,
    sources: pathlib.Path | None,
) -> list[Outcome]:
    found: list[Outcome] = []
    async with deployment.running(hosts, sources) as deployed:
        start = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for fault in faults:
                tasks.create_task(_strike(deployed, fault, start))
            for arrival in arrivals:
                await asyncio.sleep(start + arrival.at_s - time.monotonic())
                tasks.create_task(_serve(deployed, arrival, found))
    return found


async def _strike(
    deployed: deployment.Deployment, fault: Fault, start: float
) -> None:
    await asyncio.sleep(start + fault.at_s - time.monotonic())
    await deployed.control_upstream(fault.what, fault.upstream)


async def _serve(
    deployed: deployment.Deployment, arrival: Arrival, found: list[Outcome]
) -> None:
    text = f"READ {arrival.item}"
    if arrival.writes:
        text = f"WRITE {arrival.item} x"
    address = deployed.hosts[arrival.host].session_address
    sent_at = time.monotonic()
    try:
        async with (
            asyncio.timeout(GIVE_UP_S),
            deployment.session(address, arrival.route) as client,
        ):
            answer = await client.execute(text)
    except (OSError, TimeoutError, AssertionError) as exc:
        outcome = type(exc).__name__
    else:
        outcome = _outcome(answer, time.monotonic() - sent_at)
    took_s = time.monotonic() - sent_at
    found.append(Outcome(arrival.at_s, arrival.route, outcome, took_s))


def _outcome(answer: list[str], took_s: float) -> str:
    word, _, rest = answer[-2].partition(" ")
    if word == "COMPLETE":
        return "in target" if took_s <= TARGET_S else "late"
    code = rest.partition(" ")[0]
    return "refused" if code == "BUSY" else code.lower()


def _report(
    folder: pathlib.Path, name: str, found: list[Outcome], faults: list[Fault]
) -> None:
    counts = collections.Counter(one.outcome for one in found)
    took_ms = sorted(one.took_s * 1000 for one in found)
    summary = {
        "statements": len(found),
        "outcomes": dict(counts),
        "p50_ms": round(statistics.median(took_ms), 1),
        "p99_ms": round(took_ms[int(len(took_ms) * 0.99)], 1),
        "faults": [dataclasses.asdict(fault) for fault in faults],
    }
    print(f"{name}: {json.dumps(summary)}")
    plain = [dataclasses.asdict(one) for one in found]
    text = json.dumps({"summary": summary, "outcomes": plain}, indent=1)
    (folder / f"{name}.json").write_text(text)
    _plot(folder / f"{name}.png", name, found, faults)


def _plot(
    path: pathlib.Path, name: str, found: list[Outcome], faults: list[Fault]
) -> None:
    windows = max(int(one.at_s / WINDOW_S) for one in found) + 1
    figure, axes = pyplot.subplots()
    bottom = [0] * windows
    for outcome in sorted({one.outcome for one in found}):
        counts = [0] * windows
        for one in found:
            if one.outcome == outcome:
                counts[int(one.at_s / WINDOW_S)] += 1
        color = COLORS.get(outcome, OTHER_COLOR)
        axes.bar(
            range(windows), counts, 1.0, bottom, label=outcome, color=color
        )
        bottom = [low + n for low, n in zip(bottom, counts, strict=True)]
    for fault in faults:
        axes.axvline(fault.at_s / WINDOW_S - 0.5, linestyle=":", color="k")
    axes.set_xlabel("seconds of the load")
    axes.set_ylabel("statements a second")
    axes.set_title(name)
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)


if __name__ == "__main__":
    raise SystemExit(defopt.run(main))
