"""Faults to inject into a simulated fleet of hosts, each for a limited time."""

from __future__ import annotations

from collections.abc import Callable

from fescueshunt.core import store_items
from fescueshunt.replicas import membership
from lib import hosted_world

STORE = hosted_world.STORE


def _crash_primary(world: hosted_world.World, duration_s: float) -> None:
    primary = world.replicas.primary()
    if primary is None:
        return
    name = primary.name
    world.crash(name)
    world.call_later(duration_s, lambda: world.restart(name))


def _crash_replica(world: hosted_world.World, duration_s: float) -> None:
    running_replicas = [
        m.name
        for m in world.replicas.members.values()
        if m.up and not m.is_primary
    ]
    if len(running_replicas) < 2:
        return
    name = world.rng.choice(running_replicas)
    world.crash(name)
    world.call_later(duration_s, lambda: world.restart(name))


def _partition(
    world: hosted_world.World, duration_s: float, node: str, others: list[str]
) -> None:
    pairs = {frozenset((node, other)) for other in others if other != node}
    world.partitions |= pairs
    world.call_later(
        duration_s, lambda: world.partitions.difference_update(pairs)
    )


def _host_loses_store(world: hosted_world.World, duration_s: float) -> None:
    name = world.rng.choice(sorted(world.hosts))
    _partition(world, duration_s, name, [STORE])


def _holder_loses_store(world: hosted_world.World, duration_s: float) -> None:
    stored = world.store.keys.get(hosted_world.DUTY_KEY)
    if stored is not None:
        _partition(world, duration_s, stored.value, [STORE])


def _partition_store(world: hosted_world.World, duration_s: float) -> None:
    _partition(world, duration_s, STORE, sorted(world.hosts))


def _isolate_primary(world: hosted_world.World, duration_s: float) -> None:
    primary = world.replicas.primary()
    if primary is not None:
        separated_nodes = [*world.hosts, *world.replicas.members]
        _partition(world, duration_s, primary.name, separated_nodes)


def _primary_loses_replicas(
    world: hosted_world.World, duration_s: float
) -> None:
    primary = world.replicas.primary()
    if primary is not None:
        others = list(world.replicas.members)
        _partition(world, duration_s, primary.name, others)


def _primary_loses_hosts(world: hosted_world.World, duration_s: float) -> None:
    primary = world.replicas.primary()
    if primary is not None:
        count = world.rng.randint(1, len(world.hosts))
        unreachable_hosts = world.rng.sample(sorted(world.hosts), count)
        _partition(world, duration_s, primary.name, unreachable_hosts)


def _isolate_host_except_one_member(
    world: hosted_world.World, duration_s: float
) -> None:
    name = world.rng.choice(sorted(world.hosts))
    member = world.rng.choice(sorted(world.replicas.members))
    separated_nodes = [STORE, *world.replicas.members]
    separated_nodes.remove(member)
    _partition(world, duration_s, name, separated_nodes)


def lose_member(
    world: hosted_world.World, name: str, duration_s: float
) -> None:
    """Cuts a member off from the hosts and the store until it is dropped.

    It stays connected to the other members. Its entry returns with it.
    """
    dropped_for_s = duration_s + membership.UNLISTED_TIMEOUT_S
    _partition(world, dropped_for_s, name, sorted(world.hosts))
    for host in list(world.hosts.values()):
        world.feed(host, store_items.EntryRemoved(world.now, name))
    world.call_later(dropped_for_s, world.publish_entries)


def _lose_replica(world: hosted_world.World, duration_s: float) -> None:
    replicas = [m.name for m in world.replicas.members.values() if m.up]
    name = world.rng.choice([n for n in replicas if n != _primary_name(world)])
    lose_member(world, name, duration_s)


def _primary_name(world: hosted_world.World) -> str:
    primary = world.replicas.primary()
    return primary.name if primary is not None else ""


def _freeze_host(world: hosted_world.World, duration_s: float) -> None:
    world.freeze(world.rng.choice(sorted(world.hosts)), duration_s)


def _freeze_holder(world: hosted_world.World, duration_s: float) -> None:
    stored = world.store.keys.get(hosted_world.DUTY_KEY)
    if stored is not None and stored.value in world.hosts:
        world.freeze(stored.value, duration_s)


def _restart_host(world: hosted_world.World, duration_s: float) -> None:
    name = world.rng.choice(sorted(world.hosts))
    world.kill_host(name)
    world.call_later(0.5, lambda: world.start_host(name))


def _restart_holder(world: hosted_world.World, duration_s: float) -> None:
    stored = world.store.keys.get(hosted_world.DUTY_KEY)
    if stored is not None and stored.value in world.hosts:
        name = stored.value
        world.kill_host(name)
        world.call_later(0.5, lambda: world.start_host(name))


def _revoke_lease(world: hosted_world.World, duration_s: float) -> None:
    name = world.rng.choice(sorted(world.hosts))
    stored = world.store.keys.get(hosted_world.HOSTS_PREFIX + name)
    _partition(world, duration_s, name, [STORE])
    if stored is not None:
        world.store.delete_lease_keys(stored.lease)


def _lose_store_answers(world: hosted_world.World, duration_s: float) -> None:
    world.store_answer_loss_rate = 0.3

    def end() -> None:
        world.store_answer_loss_rate = 0.0

    world.call_later(duration_s, end)


def _delay_replicas(world: hosted_world.World, duration_s: float) -> None:
    for member in world.replicas.members.values():
        member.lag_s = 0.4

    def end() -> None:
        for member in world.replicas.members.values():
            member.lag_s = 0.0

    world.call_later(duration_s, end)


def _drain_primary(world: hosted_world.World, duration_s: float) -> None:
    primary = world.replicas.primary()
    if primary is None:
        return
    name = primary.name
    world.draining.add(name)
    world.publish_entries()

    def end() -> None:
        world.draining.discard(name)
        world.publish_entries()

    world.call_later(duration_s, end)


FAULTS: dict[str, Callable[[hosted_world.World, float], None]] = {
    "crash": _crash_primary,
    "crash_replica": _crash_replica,
    "host_loses_store": _host_loses_store,
    "holder_loses_store": _holder_loses_store,
    "store_down": _partition_store,
    "primary_dark": _isolate_primary,
    "primary_loses_replicas": _primary_loses_replicas,
    "primary_loses_hosts": _primary_loses_hosts,
    "host_cut_off": _isolate_host_except_one_member,
    "freeze": _freeze_host,
    "freeze_holder": _freeze_holder,
    "kill": _restart_host,
    "kill_holder": _restart_holder,
    "lose_replica": _lose_replica,
    "revoke": _revoke_lease,
    "lose_answers": _lose_store_answers,
    "lag": _delay_replicas,
    "drain": _drain_primary,
}


def schedule_faults(
    world: hosted_world.World, count: int, span_s: float
) -> list[str]:
    """Schedules random faults and returns a description of each.

    Args:
      world: The simulated fleet.
      count: The number of faults.
      span_s: The time within which they start, in seconds.
    """
    descriptions: list[str] = []
    for _ in range(count):
        kind = world.rng.choice(sorted(FAULTS))
        at_s = world.rng.uniform(0, span_s)
        duration_s = world.rng.uniform(0.3, 5.0)
        descriptions.append(f"{kind} at {at_s:.2f} for {duration_s:.2f}")
        schedule_fault(world, kind, at_s, duration_s)
    return descriptions


def schedule_fault(
    world: hosted_world.World, kind: str, at_s: float, duration_s: float
) -> None:
    """Schedules one fault of the given kind."""

    def begin() -> None:
        if world.hosts:
            FAULTS[kind](world, duration_s)

    world.call_later(at_s, begin)
