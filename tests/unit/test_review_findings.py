"""Tests calls whose outcome isn't known, beside those of a failover.

Promotions that act late beside a split of the network, votes that are written
late, and a release of the duty that is lost.
"""

from __future__ import annotations

from collections.abc import Callable

from fescueshunt.core import filters, sessions, store_items
from fescueshunt_standins.hosted import replicas
from lib import (
    hosted_clients,
    hosted_nodes,
    hosted_store,
    hosted_world,
    promotion_network,
)

WARM_UP_S = 3.0
MAX_WAIT_S = 30.0
RECOVERY_S = 15.0
# The store carries out a call seconds after it was sent.
VOTE_DELAY_S = 3.0
# The primary is out of reach for long enough that each host votes.
OUTAGE_S = 1.6
# Longer than a failover.
FAILOVER_S = 10.0
# Longer than it takes a badly connected holder to give up the duty.
RELEASE_S = 4.0
# Longer than an attempt, the call of which is not known to be in force.
SPLIT_S = 15.0
# The time from a call to the record of the primary.
AFTER_CALL_S = 1.0


class LargeWorld(hosted_world.World):
    """Hosts beside a replica set of four."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        replica = replicas.Member("u3", sessions.ReplicaRole.REPLICA)
        self.replicas.members["u3"] = replica
        self.publish_entries()


class LateVotesWorld(hosted_world.World):
    """Hosts whose votes are written late and without an answer.

    Attributes:
      is_late: whether votes that are cast now are late.
    """

    is_late = True

    def _call_store(
        self, host: hosted_nodes.Host, effect: filters.Item
    ) -> None:
        if not self.is_late or not _is_vote(effect):
            super()._call_store(host, effect)
            return
        sent_at = self.now
        timeout = hosted_store.make_timeout_item(effect, sent_at)
        self.call_later(
            VOTE_DELAY_S,
            lambda: hosted_store.execute_call(
                self.store, effect, sent_at, self.now
            ),
        )
        self.call_later(
            hosted_world.STORE_TIMEOUT_S,
            lambda: self._feed_now(host, timeout),
        )


def _is_vote(effect: filters.Item) -> bool:
    """Returns whether a store call casts a vote; a removal is none."""
    return (
        isinstance(effect, store_items.WriteKey)
        and effect.key.startswith(store_items.VOTES_PREFIX)
        and effect.value is not None
    )


def _run_until(
    world: hosted_world.World, condition: Callable[[], bool]
) -> None:
    end = world.now + MAX_WAIT_S
    while not condition():
        assert world.now < end
        world.run(hosted_world.TICK_S / 2)


def _lose_removals(
    world: hosted_world.World, prefix: str, count: int
) -> list[filters.Item]:
    """Loses the next calls that remove a key; returns those that were lost."""
    lost: list[filters.Item] = []

    def loses(call: filters.Item) -> bool:
        is_removal = (
            isinstance(call, store_items.WriteKey)
            and call.key.startswith(prefix)
            and call.value is None
        )
        if not is_removal or len(lost) == count:
            return False
        lost.append(call)
        return True

    world.loses_call = loses
    return lost


def _split(
    world: hosted_world.World, side: set[str], other_side: set[str]
) -> None:
    for name in side:
        world.partition(name, *other_side)


# Failure: the old primary alone counts as a fence of an attempt whose own call
# took effect beyond its reach; it is promoted without the commits since.
def test_old_primary_alone_is_no_fence_after_an_unanswered_call():
    world = LargeWorld(1)
    late = promotion_network.Delivery(1.5, is_answer_lost=True)
    network = world.promotion_network
    network.deliveries.append(late)
    world.run(1.0)
    history = hosted_clients.run_clients(world)
    world.run(WARM_UP_S)
    world.partition("u0", "u1", "u2", "u3")
    _run_until(world, lambda: bool(network.sent))
    target = network.sent[0].upstream
    holder = world.store.keys[hosted_world.DUTY_KEY].value
    cut_off_host = next(name for name in sorted(world.hosts) if name != holder)
    followers = sorted({"u1", "u2", "u3"} - {target})
    far = {target, followers[0], cut_off_host}
    near = {"u0", followers[1], hosted_world.STORE, *world.hosts} - far
    _split(world, far, near)
    end = world.now + SPLIT_S
    while len(network.sent) == 1 and world.now < end:
        world.run(hosted_world.TICK_S / 2)
    world.run(AFTER_CALL_S)
    world.heal()
    world.run(RECOVERY_S)
    assert network.violations == []
    assert hosted_clients.find_violations(world, history) == []


# Failure: while a late call is open, a fenced replica restarts out of the
# holder's reach, and a host without a lease takes the old primary for
# confirmed: seconds of its commits are lost once the call takes effect.
def test_old_primary_is_not_confirmed_by_a_restarted_replica_amid_a_late_call():
    world = hosted_world.World(1)
    late = promotion_network.Delivery(5.5, is_answer_lost=True)
    network = world.promotion_network
    network.deliveries.append(late)
    world.run(1.0)
    history = hosted_clients.run_clients(world)
    world.run(WARM_UP_S)
    holder = world.store.keys[hosted_world.DUTY_KEY].value
    cut_off_host = next(name for name in sorted(world.hosts) if name != holder)
    world.partition("u0", *(set(world.hosts) - {cut_off_host}))
    _run_until(world, lambda: bool(network.sent))
    target = network.sent[0].upstream
    restarted = next(name for name in ("u1", "u2") if name != target)
    far = {"u0", restarted, cut_off_host}
    near = {target, hosted_world.STORE, *world.hosts} - far
    _split(world, far, near)
    world.crash(restarted)
    world.run(0.1)
    world.restart(restarted)
    _run_until(world, lambda: bool(network.effects))
    world.heal()
    world.run(RECOVERY_S)
    assert network.violations == []
    assert hosted_clients.find_violations(world, history) == []


# Failure: votes that the store writes after they were withdrawn stand for good,
# and a healthy primary is replaced, again and again once it leads.
def test_vote_that_is_written_after_its_removal_does_not_stand():
    world = LateVotesWorld(1)
    world.run(1.0)
    history = hosted_clients.run_clients(world)
    world.run(WARM_UP_S)
    world.partition("u0", *world.hosts)
    world.run(OUTAGE_S)
    world.heal()
    world.run(0.5)
    world.is_late = False
    world.run(FAILOVER_S)
    world.draining.update(("u1", "u2"))
    world.publish_entries()
    world.run(RECOVERY_S)
    assert len(world.promotion_network.sent) <= 2
    assert hosted_clients.find_violations(world, history) == []


# Failure: a vote whose removal is lost stands for good, and a healthy primary
# is replaced, again and again once it leads.
def test_vote_whose_removal_is_lost_does_not_stand():
    world = hosted_world.World(1)
    world.run(1.0)
    history = hosted_clients.run_clients(world)
    world.run(WARM_UP_S)
    lost = _lose_removals(world, store_items.VOTES_PREFIX, len(world.hosts))
    world.crash("u0")
    world.run(FAILOVER_S)
    world.restart("u0")
    world.run(WARM_UP_S)
    assert lost
    world.draining.update(("u1", "u2"))
    world.publish_entries()
    world.run(RECOVERY_S)
    assert len(world.promotion_network.sent) <= 2
    assert hosted_clients.find_violations(world, history) == []


# Failure: the write that gives up the duty is lost; its holder takes it for
# done, the key stays under a lease that is renewed, and no primary is replaced.
def test_duty_is_not_orphaned_by_a_lost_release():
    world = hosted_world.World(1)
    world.run(1.0)
    history = hosted_clients.run_clients(world)
    world.run(WARM_UP_S)
    lost = _lose_removals(world, store_items.DUTY_KEY, 1)
    holder = world.store.keys[store_items.DUTY_KEY].value
    world.partition(holder, "u0", "u1", "u2")
    world.run(RELEASE_S)
    assert lost
    world.heal()
    world.run(RELEASE_S)
    world.crash("u0")
    world.run(MAX_WAIT_S)
    assert world.promotion_network.sent
    assert hosted_clients.find_violations(world, history) == []
