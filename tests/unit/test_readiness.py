"""Readiness of hosts while the store or upstreams are unreachable."""

from __future__ import annotations

from lib import hosted_clients, hosted_world

MEMBERS = ("u0", "u1", "u2")


def _ready_world() -> hosted_world.World:
    world = hosted_world.World(seed=3)
    world.run(1.0)
    hosted_clients.run_clients(world)
    world.run(1.0)
    assert all(host.ready for host in world.hosts.values())
    return world


def test_host_that_can_serve_reads_stays_ready_without_store():
    world = _ready_world()
    world.partition(hosted_world.STORE, *world.hosts)
    world.partition("u0", *world.hosts)
    world.run(4.0)
    assert all(host.ready for host in world.hosts.values())


def test_isolated_host_is_not_ready():
    world = _ready_world()
    world.partition("h0", hosted_world.STORE, "u0", "u1")
    world.run(3.0)
    assert not world.hosts["h0"].ready
    assert world.hosts["h1"].ready
    world.heal()
    world.run(2.0)
    assert world.hosts["h0"].ready
