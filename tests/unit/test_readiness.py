"""Which hosts take new sessions while the store or upstreams are away."""

from __future__ import annotations

from fescueshunt.core import store_items
from lib import hosted_clients, hosted_world

MEMBERS = ("u0", "u1", "u2")


def _warm() -> hosted_world.World:
    world = hosted_world.World(seed=3)
    world.run(1.0)
    hosted_clients.run_clients(world)
    world.run(1.0)
    assert all(host.ready for host in world.hosts.values())
    return world


def test_a_host_that_can_serve_reads_stays_ready_without_the_store():
    world = _warm()
    world.separate(hosted_world.STORE, *world.hosts)
    world.separate("u0", *world.hosts)
    world.run(4.0)
    assert all(host.ready for host in world.hosts.values())


def test_a_host_that_reaches_neither_store_nor_most_upstreams_is_not_ready():
    world = _warm()
    world.separate("h0", hosted_world.STORE, "u0", "u1")
    world.run(3.0)
    assert not world.hosts["h0"].ready
    assert world.hosts["h1"].ready
    world.heal()
    world.run(2.0)
    assert world.hosts["h0"].ready


def test_a_host_that_is_cut_off_says_so_before_its_lease_ends():
    world = hosted_world.World(seed=3)
    world.run(2.0)
    world.separate("h0", hosted_world.STORE, *MEMBERS)
    world.run(store_items.LEASE_TTL_S)
    assert not world.hosts["h0"].ready
    assert world.hosts["h1"].ready


def test_an_outage_of_the_store_costs_each_member_one_question_a_host():
    world = hosted_world.World(seed=3)
    world.run(2.0)
    before = world.status_calls
    world.separate(hosted_world.STORE, *world.hosts)
    world.run(5.0)
    asked = world.status_calls - before
    assert len(MEMBERS) <= asked <= len(MEMBERS) * len(world.hosts)
