"""Tests failover with an in-memory store and replica set."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import pytest

from fescueshunt.core import process, session_items, store_items
from fescueshunt.replicas import membership
from fescueshunt.takeover import election, replace
from lib import hosted_clients, hosted_faults, hosted_world

# The expected time of a promotion, plus the 2 s that the target allows.
MAX_OUTAGE_S = hosted_world.PROMOTION_S + 2.0
STOP_DURATION_S = 2.6


def test_fleet_without_faults_elects_a_holder_and_serves_every_statement():
    world = hosted_world.World()
    world.run(1.0)
    history = hosted_clients.run_clients(world)
    world.run(4.0)
    assert store_items.DUTY_KEY in world.store.keys
    assert history.served_count > 100
    assert history.failed_count == 0
    assert hosted_clients.find_violations(world, history) == []
    assert world.replicas.promotions == []


def test_crashed_primary_is_replaced_in_time():
    world = hosted_world.World()
    world.run(1.0)
    history = hosted_clients.run_clients(world)
    world.run(2.0)
    crashed_at = world.now
    world.crash("u0")
    world.run(6.0)
    assert len(world.replicas.promotions) == 1
    assert world.replicas.primary().name != "u0"
    first_ack_at = min(
        at for at in history.acknowledged_at.values() if at > crashed_at
    )
    assert first_ack_at - crashed_at < MAX_OUTAGE_S
    assert hosted_clients.find_violations(world, history) == []


def test_leaving_primary_is_replaced():
    world = hosted_world.World()
    world.run(1.0)
    history = hosted_clients.run_clients(world)
    world.run(2.0)
    world.draining.add("u0")
    world.publish_entries()
    world.run(4.0)
    assert world.replicas.primary().name != "u0"
    assert hosted_clients.find_violations(world, history) == []


# Failure: a leaving primary with a commit in flight is promoted again, and each
# time no write is served until that is in force.
@pytest.mark.parametrize("seed", [2, 4, 6])
def test_leaving_primary_is_replaced_by_one_promotion(seed: int):
    world = hosted_world.World(seed)
    world.run(1.0)
    history = hosted_clients.run_clients(world)
    world.run(2.0)
    world.draining.add("u0")
    world.publish_entries()
    world.run(6.0)
    assert len(world.replicas.promotions) == 1
    assert world.replicas.primary().name != "u0"
    assert hosted_clients.find_violations(world, history) == []


def test_lost_promotion_call_is_sent_again():
    world = hosted_world.World()
    world.run(1.0)
    history = hosted_clients.run_clients(world)
    world.run(2.0)
    world.promotion_answers_to_lose = 1
    crashed_at = world.now
    world.crash("u0")
    world.run(6.0)
    first_ack_at = min(
        at for at in history.acknowledged_at.values() if at > crashed_at
    )
    assert (
        first_ack_at - crashed_at < MAX_OUTAGE_S + hosted_world.CALL_TIMEOUT_S
    )
    assert hosted_clients.find_violations(world, history) == []


def test_host_without_store_delays_promotion_by_at_most_one_lease():
    world = hosted_world.World()
    world.run(1.0)
    history = hosted_clients.run_clients(world)
    world.run(2.0)
    holder = world.store.keys[store_items.DUTY_KEY].value
    other_host = next(name for name in sorted(world.hosts) if name != holder)
    crashed_at = world.now
    world.partition(other_host, hosted_world.STORE)
    world.crash("u0")
    world.run(6.0)
    first_ack_at = min(
        at for at in history.acknowledged_at.values() if at > crashed_at
    )
    assert first_ack_at - crashed_at < MAX_OUTAGE_S + store_items.LEASE_TTL_S
    assert hosted_clients.find_violations(world, history) == []


def _stop_in_turn(
    world: hosted_world.World, names: Iterator[str], interval_s: float
) -> None:
    """Stops the next host and starts it again, in an endless rolling restart.

    Each host runs on for a while after it was asked to stop, as in production.
    """
    name = next(names)
    world.feed(world.hosts[name], process.StopAsked(world.now))

    def restart() -> None:
        world.kill_host(name)
        world.start_host(name)

    world.call_later(STOP_DURATION_S, restart)
    world.call_later(
        interval_s, lambda: _stop_in_turn(world, names, interval_s)
    )


# Guards against an outage of a database for as long as hosts are restarted in
# turn: each host that had left held up the promotion for the time of a lease.
@pytest.mark.parametrize("interval_s", [0.6, 0.9])
@pytest.mark.parametrize("phase_s", [0.0, 0.3, 0.6])
def test_primary_is_replaced_while_hosts_are_restarted_in_turn(
    interval_s, phase_s
):
    world = hosted_world.World(hosts=9)
    world.run(1.0)
    names = itertools.cycle(sorted(world.hosts))
    _stop_in_turn(world, names, interval_s)
    world.run(2.0 + phase_s)
    world.crash("u0")
    # The host that replaces the primary may itself be stopped meanwhile.
    world.run(MAX_OUTAGE_S + store_items.LEASE_TTL_S + replace.HANDOVER_WAIT_S)
    assert [name for _, name, _ in world.replicas.promotions] != []


# Guards against an outage of a failover's longest time: a host that started
# during it had no lease to acknowledge it under, and never did so later.
def test_host_that_starts_during_a_failover_does_not_hold_it_up():
    world = hosted_world.World()
    world.run(2.0)
    world.crash("u0")
    while not _is_replacing(world):
        world.run(hosted_world.TICK_S / 4)
    world.start_host("late")
    world.run(MAX_OUTAGE_S)
    assert [name for _, name, _ in world.replicas.promotions] != []


def _is_replacing(world: hosted_world.World) -> bool:
    return any(
        decision.event == "replacing"
        for host in world.hosts.values()
        for decision in host.decisions
    )


# Guards against lost commits: a member that was dropped because it was silent
# was left out of the fence, and a replica without its commits was promoted.
def test_replica_is_not_promoted_while_a_silent_member_may_have_commits():
    world = hosted_world.World()
    world.run(1.0)
    history = hosted_clients.run_clients(world)
    world.run(2.0)
    world.partition("u0", "u1")
    hosted_faults.lose_member(world, "u2", 6.0)
    world.run(membership.UNLISTED_TIMEOUT_S + 2.0)
    world.crash("u0")
    world.run(3.5)
    assert world.replicas.promotions == []
    world.run(4.5)
    assert world.replicas.primary().name == "u2"
    assert hosted_clients.find_violations(world, history) == []


# Guards against a log that still names a host as the holder of the duty after
# its lease has ended.
def test_holder_that_loses_its_lease_logs_the_loss_of_the_duty():
    elected = election.Election("h0")
    own = store_items.StoredKey("h0", 4, 7)
    feed = (
        store_items.LeaseView(0.0, 7, 9.0),
        store_items.KeysListed(0.0, {store_items.DUTY_KEY: own}, 5),
        store_items.LeaseView(1.0, 0, 0.0),
        store_items.LeaseView(2.0, 8, 9.0),
    )
    effects = [effect for item in feed for effect in elected.process(item)]
    events = [
        (effect.at, effect.event)
        for effect in effects
        if isinstance(effect, session_items.LogDecision)
    ]
    assert events == [(0.0, "duty_taken"), (1.0, "duty_lost")]
