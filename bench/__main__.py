"""The command line of the main benchmark: `python -m bench`."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import sys

import defopt

from bench import deploy, report, summary, targets
from fescueshunt_cli._internal.bench import plan

PLAN_NAMES = ("svetlokal-sk-west", "sahil-om-muscat")
PROXY_OPTIONS_BY_SETUP: dict[str, tuple[tuple[str, object], ...]] = {
    "ours": (),
    "primary-only": (("reads", "primary"),),
    "fifo": (("queues", "fifo"),),
    "split-pools": (("pools", "split"),),
}
BASELINE_PHASES = ("calm", "flood-low")


def run(
    *,
    plans: list[str] = list(PLAN_NAMES),  # noqa: B006
    setups: list[str] = list(PROXY_OPTIONS_BY_SETUP),  # noqa: B006
    phases: list[str] = [],  # noqa: B006
    out: pathlib.Path = deploy.ROOT / "out" / "bench",
    seed: int = 1,
) -> int:
    """Runs bench plans and reports pass or short for each target.

    Args:
      plans: the bench plans to run.
      setups: the setups to run: ours, and the baselines to compare it with.
      phases: the phases to run; by default, all phases of each setup.
      out: the folder in which the report is written.
      seed: the seed of the random arrivals, sessions and proxies.

    Returns:
      The exit status, which is always 0.
    """
    results: list[report.SetupResult] = []
    for plan_name, setup_name in itertools.product(plans, setups):
        results.append(
            asyncio.run(_run_setup(plan_name, setup_name, phases, seed))
        )
        report.write(out, results, seed)
    print((out / "report.md").read_text())
    return 0


async def _run_setup(
    plan_name: str, setup_name: str, phases: list[str], seed: int
) -> report.SetupResult:
    plan_path = deploy.ROOT / "bench" / f"{plan_name}.ini"
    bench_plan = plan.load(plan_path)
    bench_setup = deploy.Setup(
        setup_name, plan_path, bench_plan, PROXY_OPTIONS_BY_SETUP[setup_name]
    )
    all_phases = bench_plan.phases if setup_name == "ours" else BASELINE_PHASES
    phase_metrics = {}
    async with deploy.started_fleet(bench_setup) as fleet:
        for phase in phases or all_phases:
            phase_samples = await deploy.run_phase(
                fleet, bench_setup, phase, seed
            )
            phase_metrics[phase] = summary.summarize(
                phase_samples, bench_plan, phase, fleet.document
            )
    statement_ms = bench_plan.site.statement_ms
    verdicts = []
    if setup_name == "ours":
        verdicts = targets.check(
            phase_metrics, bench_setup.document(), statement_ms
        )
    return report.SetupResult(plan_name, setup_name, phase_metrics, verdicts)


if __name__ == "__main__":
    sys.exit(defopt.run(run))
