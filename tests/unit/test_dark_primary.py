"""A primary that does not even answer attempts to connect is replaced."""

from __future__ import annotations

from fescueshunt.core import sessions
from lib import hosted_world

WARM_UP_S = 1.0
PRIMARY = "u0"
CLIENT = 1
STATEMENT_INTERVAL_S = 0.1
# Longer than a lease, a vote and a failover take.
MAX_FAILOVER_S = 8.0


# Failure: hosts without an open connection to a primary that goes dark never
# suspect it, as attempts to connect only time out; it is not replaced, however
# many statements wait for it.
def test_primary_that_went_dark_before_the_hosts_started_is_replaced():
    world = hosted_world.World(1)
    world.run(WARM_UP_S)
    names = sorted(world.hosts)
    for name in names:
        world.kill_host(name)
    world.partition(PRIMARY, *names)
    for name in names:
        world.start_host(name)
    world.run(WARM_UP_S)
    for name in names:
        world.open_session(name, CLIENT, "strict")
    until = world.now + MAX_FAILOVER_S
    while not world.replicas.promotions and world.now < until:
        for name in names:
            world.send_statement(name, CLIENT, sessions.Verb.READ, "x")
        world.run(STATEMENT_INTERVAL_S)
    assert world.replicas.promotions
