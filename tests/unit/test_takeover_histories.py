"""Runs random faults against a few hosts and checks the client histories.

HOSTED_RUNS sets the number of seeds, HOSTED_SEED the first seed.
"""

from __future__ import annotations

import os

import pytest

from lib import hosted_clients, hosted_faults, hosted_world

SEED_COUNT = int(os.environ.get("HOSTED_RUNS", "12"))
FIRST_SEED = int(os.environ.get("HOSTED_SEED", "1"))
WARM_UP_S = 1.0
FAULTS_S = 8.0
# Time for the last fault to end and for the hosts to find a primary.
RECOVERY_S = 12.0
# Seeds that have failed, each with its cause.
REGRESSIONS: dict[int, str] = {
    57: "a late STEPDOWN demotes the primary that is recorded again: no writes",
}


def run_history(seed: int) -> list[str]:
    """Returns the rule violations in the history of `seed`."""
    world = hosted_world.World(seed, hosts=3)
    world.run(WARM_UP_S)
    history = hosted_clients.run_clients(world)
    faults = hosted_faults.schedule_faults(
        world, world.rng.randint(1, 4), FAULTS_S
    )
    world.run(FAULTS_S + RECOVERY_S)
    recent_acks = [
        at for at in history.acknowledged_at.values() if at > world.now - 2
    ]
    problems = hosted_clients.find_violations(world, history)
    if not recent_acks:
        problems.append("no write acknowledged at the end")
    return [f"{problem} ({faults})" for problem in problems]


@pytest.mark.parametrize(
    "seed", [*range(FIRST_SEED, FIRST_SEED + SEED_COUNT), *REGRESSIONS]
)
def test_history_has_no_violations(seed: int):
    assert run_history(seed) == []
