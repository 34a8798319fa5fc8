"""Faults that strike a world of hosts: each begins, lasts, and ends."""

from __future__ import annotations

from collections.abc import Callable

from lib import hosted_world

STORE = hosted_world.STORE


def _crash(world: hosted_world.World, length_s: float) -> None:
    leader = world.replicas.primary()
    if leader is None:
        return
    name = leader.name
    world.crash(name)
    world.call_later(length_s, lambda: world.restart(name))


def _crash_replica(world: hosted_world.World, length_s: float) -> None:
    up = [
        m.name
        for m in world.replicas.members.values()
        if m.up and not m.is_primary
    ]
    if len(up) < 2:
        return
    name = world.chance.choice(up)
    world.crash(name)
    world.call_later(length_s, lambda: world.restart(name))


def _separate(
    world: hosted_world.World, length_s: float, one: str, others: list[str]
) -> None:
    pairs = {frozenset((one, other)) for other in others if other != one}
    world.cut |= pairs
    world.call_later(length_s, lambda: world.cut.difference_update(pairs))


def _host_loses_store(world: hosted_world.World, length_s: float) -> None:
    name = world.chance.choice(sorted(world.hosts))
    _separate(world, length_s, name, [STORE])


def _holder_loses_store(world: hosted_world.World, length_s: float) -> None:
    stored = world.store.keys.get(hosted_world.DUTY_KEY)
    if stored is not None:
        _separate(world, length_s, stored.value, [STORE])


def _store_down(world: hosted_world.World, length_s: float) -> None:
    _separate(world, length_s, STORE, sorted(world.hosts))


def _primary_dark(world: hosted_world.World, length_s: float) -> None:
    leader = world.replicas.primary()
    if leader is not None:
        everyone = [*world.hosts, *world.replicas.members]
        _separate(world, length_s, leader.name, everyone)


def _primary_loses_replicas(world: hosted_world.World, length_s: float) -> None:
    leader = world.replicas.primary()
    if leader is not None:
        others = list(world.replicas.members)
        _separate(world, length_s, leader.name, others)


def _primary_loses_hosts(world: hosted_world.World, length_s: float) -> None:
    leader = world.replicas.primary()
    if leader is not None:
        count = world.chance.randint(1, len(world.hosts))
        lost = world.chance.sample(sorted(world.hosts), count)
        _separate(world, length_s, leader.name, lost)


def _host_cut_off(world: hosted_world.World, length_s: float) -> None:
    name = world.chance.choice(sorted(world.hosts))
    member = world.chance.choice(sorted(world.replicas.members))
    everyone = [STORE, *world.replicas.members]
    everyone.remove(member)
    _separate(world, length_s, name, everyone)


def _freeze(world: hosted_world.World, length_s: float) -> None:
    world.freeze(world.chance.choice(sorted(world.hosts)), length_s)


def _freeze_holder(world: hosted_world.World, length_s: float) -> None:
    stored = world.store.keys.get(hosted_world.DUTY_KEY)
    if stored is not None and stored.value in world.hosts:
        world.freeze(stored.value, length_s)


def _kill(world: hosted_world.World, length_s: float) -> None:
    name = world.chance.choice(sorted(world.hosts))
    world.stop_host(name)
    world.call_later(0.5, lambda: world.start_host(name))


def _kill_holder(world: hosted_world.World, length_s: float) -> None:
    stored = world.store.keys.get(hosted_world.DUTY_KEY)
    if stored is not None and stored.value in world.hosts:
        name = stored.value
        world.stop_host(name)
        world.call_later(0.5, lambda: world.start_host(name))


def _revoke(world: hosted_world.World, length_s: float) -> None:
    name = world.chance.choice(sorted(world.hosts))
    stored = world.store.keys.get(hosted_world.HOSTS_PREFIX + name)
    _separate(world, length_s, name, [STORE])
    if stored is not None:
        world.store.delete_lease_keys(stored.lease)


def _lose_answers(world: hosted_world.World, length_s: float) -> None:
    world.lose_store_answers = 0.3

    def end() -> None:
        world.lose_store_answers = 0.0

    world.call_later(length_s, end)


def _lag(world: hosted_world.World, length_s: float) -> None:
    for member in world.replicas.members.values():
        member.lag_s = 0.4

    def end() -> None:
        for member in world.replicas.members.values():
            member.lag_s = 0.0

    world.call_later(length_s, end)


def _drain(world: hosted_world.World, length_s: float) -> None:
    leader = world.replicas.primary()
    if leader is None:
        return
    name = leader.name
    world.draining.add(name)
    world.publish_entries()

    def end() -> None:
        world.draining.discard(name)
        world.publish_entries()

    world.call_later(length_s, end)


KINDS: dict[str, Callable[[hosted_world.World, float], None]] = {
    "crash": _crash,
    "crash_replica": _crash_replica,
    "host_loses_store": _host_loses_store,
    "holder_loses_store": _holder_loses_store,
    "store_down": _store_down,
    "primary_dark": _primary_dark,
    "primary_loses_replicas": _primary_loses_replicas,
    "primary_loses_hosts": _primary_loses_hosts,
    "host_cut_off": _host_cut_off,
    "freeze": _freeze,
    "freeze_holder": _freeze_holder,
    "kill": _kill,
    "kill_holder": _kill_holder,
    "revoke": _revoke,
    "lose_answers": _lose_answers,
    "lag": _lag,
    "drain": _drain,
}


def strike(world: hosted_world.World, count: int, span_s: float) -> list[str]:
    """Lets `count` faults strike within `span_s` seconds; returns them."""
    told: list[str] = []
    for _ in range(count):
        kind = world.chance.choice(sorted(KINDS))
        at_s = world.chance.uniform(0, span_s)
        length_s = world.chance.uniform(0.3, 5.0)
        told.append(f"{kind} at {at_s:.2f} for {length_s:.2f}")
        strike_one(world, kind, at_s, length_s)
    return told


def strike_one(
    world: hosted_world.World, kind: str, at_s: float, length_s: float
) -> None:
    """Lets one fault strike."""

    def begin() -> None:
        if world.hosts:
            KINDS[kind](world, length_s)

    world.call_later(at_s, begin)
