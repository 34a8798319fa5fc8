"""Runs the bench: `python -m bench`."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import sys

import defopt

from bench import deploy, report, summary, targets
from fescueshunt_cli._internal.bench import plan

PLANS = ("svetlokal-sk-west", "sahil-om-muscat")
SETUPS: dict[str, tuple[tuple[str, object], ...]] = {
    "ours": (),
    "primary-only": (("reads", "primary"),),
    "fifo": (("queues", "fifo"),),
    "split-pools": (("pools", "split"),),
}
BASELINE_PHASES = ("calm", "flood-low")


def run(
    *,
    plans: list[str] = list(PLANS),  # noqa: B006
    setups: list[str] = list(SETUPS),  # noqa: B006
    phases: list[str] = [],  # noqa: B006
    out: pathlib.Path = deploy.ROOT / "out" / "bench",
    seed: int = 1,
) -> int:
    """Measures the deployments and says pass or short for each target.

    Args:
      plans: which deployments.
      setups: ours, and the baselines.
      phases: which phases; all that the setup is measured in by default.
      out: the folder of the report.
      seed: of arrivals, sessions and proxies.
    """
    found: list[report.Measured] = []
    for name, setup in itertools.product(plans, setups):
        found.append(asyncio.run(_measure(name, setup, phases, seed)))
        report.write(out, found, seed)
    print((out / "report.md").read_text())
    return 0


async def _measure(
    name: str, setup: str, phases: list[str], seed: int
) -> report.Measured:
    file = deploy.ROOT / "bench" / f"{name}.ini"
    planned = plan.load(file)
    chosen = deploy.Setup(setup, file, planned, SETUPS[setup])
    all_phases = planned.phases if setup == "ours" else BASELINE_PHASES
    figures = {}
    async with deploy.running(chosen) as fleet:
        for phase in phases or all_phases:
            found = await deploy.measure(fleet, chosen, phase, seed)
            figures[phase] = summary.summarize(
                found, planned, phase, fleet.document
            )
    statement_ms = planned.site.statement_ms
    verdicts = []
    if setup == "ours":
        verdicts = targets.check(figures, chosen.document(), statement_ms)
    return report.Measured(name, setup, figures, verdicts)


if __name__ == "__main__":
    sys.exit(defopt.run(run))
