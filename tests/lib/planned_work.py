"""Planned replacements of members of a simulated replica set.

A member that leaves as planned reports that it drains, serves for a while and
exits. Then its entry is removed, and its log is gone. Its successor has either
its address and a copy of its log, or an address of its own and no log.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import sessions, store_items
from fescueshunt_standins.hosted import replicas
from lib import hosted_members

if TYPE_CHECKING:
    from lib import hosted_clients, hosted_world

DRAIN_S = 7.0
# A draining member ends this much later than it has announced.
EXIT_DELAY_S = 0.6
# From the end of a process until its entry is removed.
REMOVAL_DELAY_S = 0.4
SUCCESSOR_LEAD_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """How a member leaves and is succeeded.

    Attributes:
      keeps_address: whether the successor runs at the address of the member,
        and with its log, once that one has ended.
      exit_delay_s: how long the member runs on after its drain time.
    """

    keeps_address: bool = False
    exit_delay_s: float = EXIT_DELAY_S


def replace_primary(
    world: hosted_world.World, leaving: Leaving = Leaving()
) -> str:
    """Begins to replace the primary as planned; returns its name."""
    primary = world.replicas.primary()
    if primary is None:
        return ""
    replace_member(world, primary.name, leaving)
    return primary.name


def replace_member(
    world: hosted_world.World, name: str, leaving: Leaving = Leaving()
) -> None:
    """Begins to replace a member as planned."""
    drain_s = 0.0
    if not leaving.keeps_address:
        add_member(world)
        drain_s = SUCCESSOR_LEAD_S

    def drain() -> None:
        world.draining.add(name)
        world.publish_entries()

    world.call_later(drain_s, drain)
    exit_s = drain_s + DRAIN_S + leaving.exit_delay_s
    world.call_later(exit_s, lambda: end_member(world, name, leaving))


def add_member(world: hosted_world.World, address_of: str = "") -> str:
    """Starts a new replica, which is listed at once; returns its name."""
    members = world.replicas.members
    name = f"u{len(members)}"
    member = replicas.Member(name, sessions.ReplicaRole.REPLICA)
    if address_of:
        former = members[address_of]
        member.log, member.applied = list(former.log), former.applied
        member.term = former.term
        world.addresses[name] = hosted_members.address(world, address_of)
    members[name] = member
    world.publish_entries()
    return name


def end_member(
    world: hosted_world.World, name: str, leaving: Leaving = Leaving()
) -> None:
    """Ends a member's process; then its entry is removed."""
    world.crash(name)
    world.ended.add(name)
    if leaving.keeps_address:
        add_member(world, name)
    world.replicas.members[name].log = []
    world.call_later(REMOVAL_DELAY_S, lambda: remove_entry(world, name))


def remove_entry(world: hosted_world.World, name: str) -> None:
    """Removes a member's entry from the store."""
    world.unlisted.add(name)
    world.draining.discard(name)
    for host in world.hosts.values():
        if world.reaches(host.name, "store"):
            removed = store_items.EntryRemoved(world.now, name)
            world.feed(host, removed)


def gaps_s(
    history: hosted_clients.ClientHistory,
    start: float,
    end: float,
    min_gap_s: float,
) -> float:
    """Returns the sum of the gaps without commits of at least `min_gap_s`."""
    times = sorted(
        at for at in history.acknowledged_at.values() if start <= at <= end
    )
    edges = [start, *times, end]
    gaps = (b - a for a, b in zip(edges, edges[1:], strict=False))
    return sum(gap for gap in gaps if gap >= min_gap_s)
