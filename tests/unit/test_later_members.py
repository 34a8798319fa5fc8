"""Members that join, leave or start again while a primary is replaced."""

from __future__ import annotations

import pytest

from lib import hosted_clients, hosted_world, planned_work

PRIMARY = "u0"
HOSTS = 5
# From so many of them, the holder among them, the primary is partitioned.
PARTITIONED_HOSTS = 3
WARM_UP_S = 2.0
# When, after that: shortly before the failover begins, and during it.
STORE_CUT_S = 0.9
JOIN_S = 1.45
FAILOVER_S = 4.0
RECOVERY_S = 4.0


def _holder(world: hosted_world.World) -> str:
    return world.store.keys[hosted_world.DUTY_KEY].value


# Failure: a replica that joined during a failover was not fenced, and commits
# that only it and the old primary had were lost.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_replica_that_joins_during_a_failover_is_fenced(seed: int):
    world = hosted_world.World(seed, HOSTS)
    world.run(WARM_UP_S)
    history = hosted_clients.run_clients(world)
    world.run(WARM_UP_S)
    holder = _holder(world)
    others = [name for name in sorted(world.hosts) if name != holder]
    cut, *partitioned = others[:PARTITIONED_HOSTS]
    world.partition(PRIMARY, holder, *partitioned)
    world.run(STORE_CUT_S)
    world.partition(cut, hosted_world.STORE)
    world.run(JOIN_S - STORE_CUT_S)
    planned_work.add_member(world)
    world.run(FAILOVER_S)
    world.heal()
    world.run(RECOVERY_S)
    assert len(world.replicas.promotions) > 0
    assert hosted_clients.find_violations(world, history) == []
    assert max(history.acknowledged_at.values()) > world.now - 1.0
