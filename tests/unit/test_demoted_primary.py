"""A recorded primary that has stepped down is replaced."""

from __future__ import annotations

from fescueshunt.core import sessions
from lib import hosted_clients, hosted_world

WARM_UP_S = 3.0
FAILOVER_S = 6.0
MAX_OUTAGE_S = 5.0


# Failure: hosts go on sending writes to a recorded primary that has become a
# replica; each is rejected, no host votes, and it never ends.
def test_recorded_primary_that_became_a_replica_is_replaced():
    world = hosted_world.World(1)
    world.run(1.0)
    history = hosted_clients.run_clients(world)
    world.crash("u0")
    world.run(FAILOVER_S)
    world.restart("u0")
    world.run(WARM_UP_S)
    primary = world.replicas.primary()
    primary.role = sessions.ReplicaRole.REPLICA
    demoted_at = world.now
    world.run(FAILOVER_S)
    acks = history.acknowledged_at.values()
    first_ack_at = min(
        (at for at in acks if at > demoted_at), default=world.now
    )
    assert first_ack_at - demoted_at < MAX_OUTAGE_S
    assert hosted_clients.find_violations(world, history) == []


def test_new_primary_is_not_taken_for_one_that_has_stepped_down():
    world = hosted_world.World(1)
    world.run(1.0)
    history = hosted_clients.run_clients(world)
    for name in ("u0", "u1"):
        world.crash(name)
        world.run(FAILOVER_S)
        world.restart(name)
        world.run(WARM_UP_S)
    assert len(world.replicas.promotions) == 2
    assert hosted_clients.find_violations(world, history) == []
