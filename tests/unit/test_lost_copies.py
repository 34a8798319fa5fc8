"""Failovers after the loss of the only replica that holds some commits.

A primary commits with one replica, as the other one receives nothing. Then the
first one is lost, so that only the primary has what was acknowledged.
"""

from __future__ import annotations

import dataclasses

import pytest

from fescueshunt.core import (
    member_records,
    replica_sets,
    sessions,
    store_items,
)
from fescueshunt.replicas import membership
from lib import (
    hosted_clients,
    hosted_members,
    hosted_world,
    planned_work,
    replica_set_views,
)

PRIMARY, REPLICA, DEAF = "u0", "u1", "u2"
WARM_UP_S = 2.0
DEAF_BEFORE_LOSS_S = 0.5
# The address is used again so long after the loss.
ADDRESS_REUSE_S = 2.0
FAILOVER_S = 2.5
HOSTS_DOWN_S = 0.3
# The entry of the lost replica is removed by then.
HOSTS_KILLED_S = 1.0
# Longer than several failovers, shorter than a former member counts as running.
FAILOVERS_S = 8.0
RECOVERY_S = 4.0
# Shorter than it takes to detect that the primary is lost.
REPLICA_LOST_S = 0.4
RESTART_S = 0.3
# By then hosts have dropped a member whose entry was removed.
DROPPED_S = membership.UNLISTED_TIMEOUT_S + 2.0


class LostCopy:
    """Hosts before a primary of whose two replicas one receives nothing."""

    def __init__(self, seed: int) -> None:
        self.world = hosted_world.World(seed)
        self.world.run(WARM_UP_S)
        self.history = hosted_clients.run_clients(self.world)
        self.world.run(WARM_UP_S)
        self.world.partition(PRIMARY, DEAF)
        self.world.run(DEAF_BEFORE_LOSS_S)

    def lose_replica(self) -> None:
        """Ends the replica that has all commits for good."""
        planned_work.end_member(self.world, REPLICA)

    def reuse_address(self, database: str) -> None:
        """Lists an upstream of `database` at the address of the lost one."""
        address = hosted_members.address(self.world, REPLICA)
        entry = replica_set_views.make_entry("x0", address=address)
        entry = dataclasses.replace(entry, database=database)
        for host in self.world.hosts.values():
            item = store_items.EntryChanged(self.world.now, entry)
            self.world.feed(host, item)

    def restart_hosts(self) -> None:
        """Kills all hosts at once, and starts them again."""
        names = list(self.world.hosts)
        for name in names:
            self.world.kill_host(name)
        self.world.run(HOSTS_DOWN_S)
        for name in names:
            self.world.start_host(name)

    def recover(self) -> None:
        """Lets the deaf replica receive again."""
        self.world.heal()
        self.world.run(RECOVERY_S)

    def assert_nothing_lost(self) -> None:
        """Asserts that each acknowledged commit is kept, and writes go on."""
        world, history = self.world, self.history
        assert hosted_clients.find_violations(world, history) == []
        assert max(history.acknowledged_at.values()) > world.now - 1.0


# Failure: a lost replica was forgotten once a backend of another service had
# its address, and a replica without its commits was promoted.
@pytest.mark.parametrize("seed", [1, 2])
def test_lost_replica_is_remembered_when_its_address_is_used_again(seed: int):
    failover = LostCopy(seed)
    failover.lose_replica()
    failover.world.run(ADDRESS_REUSE_S)
    failover.reuse_address("elsewhere")
    failover.world.run(FAILOVERS_S)
    failover.recover()
    failover.assert_nothing_lost()


# Failure: a lost replica was forgotten a minute after its entry was removed.
def test_lost_replica_is_remembered_for_as_long_as_no_member_has_its_commits():
    failover = LostCopy(1)
    failover.lose_replica()
    failover.world.run(replica_sets.FORMER_MEMBER_TTL_S + FAILOVERS_S)
    failover.recover()
    failover.assert_nothing_lost()


# Failure: hosts that were started again took the replicas that were listed for
# all that had acknowledged commits, and promoted one without them.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_restarted_hosts_know_of_a_lost_replica(seed: int):
    failover = LostCopy(seed)
    failover.lose_replica()
    failover.world.run(HOSTS_KILLED_S)
    failover.restart_hosts()
    failover.world.run(FAILOVERS_S)
    failover.recover()
    failover.assert_nothing_lost()


# Failure: hosts without any record of the members promoted a replica below a
# primary that had stepped down.
def test_hosts_without_a_record_do_not_promote_below_the_old_primary():
    failover = LostCopy(1)
    failover.lose_replica()
    failover.world.run(HOSTS_KILLED_S)
    del failover.world.store.keys[
        member_records.record_key(hosted_world.DATABASE)
    ]
    failover.restart_hosts()
    failover.world.run(FAILOVERS_S)
    failover.recover()
    failover.assert_nothing_lost()


# Guards against an outage: a lost replica is waited for only until another one
# holds all that it can have acknowledged.
def test_lost_replica_is_not_waited_for_once_another_one_has_its_commits():
    failover = LostCopy(1)
    failover.lose_replica()
    failover.world.run(WARM_UP_S)
    failover.recover()
    failover.world.run(DROPPED_S)
    failover.world.crash(PRIMARY)
    failover.world.run(FAILOVER_S)
    promoted = {name for _, name, _ in failover.world.replicas.promotions}
    assert DEAF in promoted


# Failure: a replica that started again with nothing counted for a fence, and
# the other one, which lacked the commits, was promoted.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_replica_that_starts_again_with_nothing_proves_nothing(seed: int):
    failover = LostCopy(seed)
    world = failover.world
    world.crash(PRIMARY)
    world.run(REPLICA_LOST_S)
    world.crash(REPLICA)
    world.run(RESTART_S)
    world.restart_empty(REPLICA)
    world.run(FAILOVER_S)
    world.restart(PRIMARY)
    failover.recover()
    failover.assert_nothing_lost()


# Failure: an old primary that started again with nothing counted as the one
# that has every commit, and hosts read at it until it was replaced.
def test_old_primary_that_starts_again_with_nothing_proves_nothing():
    failover = LostCopy(1)
    world = failover.world
    world.crash(REPLICA)
    world.run(RESTART_S)
    world.crash(PRIMARY)
    world.run(RESTART_S)
    world.restart_empty(PRIMARY)
    world.replicas.members[PRIMARY].role = sessions.ReplicaRole.REPLICA
    world.run(FAILOVER_S)
    world.restart(REPLICA)
    failover.recover()
    failover.assert_nothing_lost()
