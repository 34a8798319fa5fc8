"""Histories of a few hosts under several faults at once, with their check.

HOSTED_RUNS sets how many seeds are played, HOSTED_SEED the first of them.
"""

from __future__ import annotations

import os

import pytest

from lib import hosted_clients, hosted_faults, hosted_world

RUNS = int(os.environ.get("HOSTED_RUNS", "12"))
FIRST = int(os.environ.get("HOSTED_SEED", "1"))
WARM_S = 1.0
FAULTS_S = 8.0
# The last fault ends, hosts look around, and a primary is found.
HEAL_S = 12.0
# Every seed that ever failed, with its cause.
REGRESSIONS: dict[int, str] = {}


def play(seed: int) -> list[str]:
    """Returns the rules that the history of `seed` broke."""
    world = hosted_world.World(seed, hosts=3)
    world.run(WARM_S)
    history = hosted_clients.run_clients(world)
    told = hosted_faults.strike(world, world.rng.randint(1, 4), FAULTS_S)
    world.run(FAULTS_S + HEAL_S)
    acked_late = [
        at for at in history.acknowledged_at.values() if at > world.now - 2
    ]
    problems = hosted_clients.find_violations(world, history)
    if not acked_late:
        problems.append("no write acknowledged at the end")
    return [f"{problem} ({told})" for problem in problems]


@pytest.mark.parametrize("seed", [*range(FIRST, FIRST + RUNS), *REGRESSIONS])
def test_history_keeps_every_rule(seed: int):
    assert play(seed) == []
