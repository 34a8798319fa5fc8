"""Tests failovers whose records in the store are lost or seen late.

The promotion calls of a database are part of its record; what a holder forgets
or takes for over may take effect after another promotion.
"""

from __future__ import annotations

from collections.abc import Callable

from fescueshunt.core import filters, leadership, store_items
from lib import hosted_clients, hosted_world, promotion_network

KEY = leadership.record_key(hosted_world.DATABASE)
MEMBERS = ("u0", "u1", "u2")
LATE = promotion_network.Delivery(6.0, is_answer_lost=True)
SOON = promotion_network.Delivery(1.0, is_answer_lost=True)
MAX_WAIT_S = 20.0
RECOVERY_S = 20.0
# A failover that waits for no earlier call.
FAILOVER_S = 4.0


def _start(
    *deliveries: promotion_network.Delivery,
) -> tuple[hosted_world.World, hosted_clients.ClientHistory]:
    world = hosted_world.World(1)
    world.promotion_network.deliveries.extend(deliveries)
    world.run(1.0)
    return world, hosted_clients.run_clients(world)


def _run_until(
    world: hosted_world.World, condition: Callable[[], bool]
) -> None:
    end = world.now + MAX_WAIT_S
    while not condition():
        assert world.now < end
        world.run(hosted_world.TICK_S / 2)


def _cut_off(world: hosted_world.World, member: str) -> None:
    others = (name for name in MEMBERS if name != member)
    world.partition(member, *others, *world.hosts)


def _lose_one_write(
    world: hosted_world.World, is_lost: Callable[[store_items.WriteKey], bool]
) -> list[filters.Item]:
    """Loses the first matching write; returns a list that it is added to."""
    lost: list[store_items.WriteKey] = []

    def loses(call: object) -> bool:
        if lost or not isinstance(call, store_items.WriteKey):
            return False
        if is_lost(call):
            lost.append(call)
        return bool(lost)

    world.loses_call = loses
    return lost


def _is_steady_record(write: store_items.WriteKey) -> bool:
    return write.key == KEY and write.value.startswith("steady")


def _check(
    world: hosted_world.World, history: hosted_clients.ClientHistory
) -> None:
    world.heal()
    world.run(RECOVERY_S)
    assert hosted_clients.find_violations(world, history) == []
    assert max(history.acknowledged_at.values()) > world.now - 2.0


# Guards against lost commits: an effect that was seen twice, as its record was
# lost, counted as that of two calls.
def test_effect_that_is_seen_twice_ends_only_one_call():
    world, history = _start(SOON, LATE)
    network = world.promotion_network
    lost = _lose_one_write(world, _is_steady_record)
    _cut_off(world, "u0")
    _run_until(world, lambda: bool(lost))
    _run_until(world, lambda: _is_recorded(world, "u1"))
    world.heal()
    world.crash("u1")
    _run_until(world, lambda: any(e.upstream != "u1" for e in network.effects))
    world.restart("u1")
    world.partition("u1", "u0", "u2")
    _run_until(world, lambda: not network.has_late_calls)
    _check(world, history)


def _is_recorded(world: hosted_world.World, primary: str) -> bool:
    stored = world.store.keys.get(KEY)
    record = leadership.parse_record(stored) if stored is not None else None
    return (
        record is not None
        and not record.is_failing_over
        and record.upstream == primary
    )


# Guards against lost commits: a holder that lost the duty and found it again
# under the same token had forgotten its call.
def test_call_is_known_when_the_duty_returns_with_the_same_token():
    world, history = _start(LATE)
    network = world.promotion_network
    lost = _lose_one_write(
        world,
        lambda w: w.key == store_items.DUTY_KEY and w.value is None,
    )
    _cut_off(world, "u0")
    _run_until(world, lambda: bool(network.sent))
    holder = world.store.keys[store_items.DUTY_KEY].value
    world.partition(holder, *MEMBERS)
    _run_until(world, lambda: bool(lost))
    world.heal()
    _cut_off(world, "u1")
    world.hosts[holder].watched_revision = None
    _run_until(world, lambda: not network.has_late_calls)
    _check(world, history)


# Guards against a failover that waits for a call which is known to be over.
def test_call_that_took_effect_holds_up_no_later_failover():
    world, history = _start(promotion_network.Delivery(0.1, True))
    network = world.promotion_network
    _cut_off(world, "u0")
    _run_until(world, lambda: bool(network.sent))
    world.kill_host(world.store.keys[store_items.DUTY_KEY].value)
    _run_until(world, lambda: _is_recorded(world, "u1"))
    world.run(0.3)
    world.heal()
    world.run(0.7)
    _cut_off(world, "u1")
    failed_at = world.now
    _run_until(world, lambda: len(network.effects) > 1)
    assert world.now - failed_at < FAILOVER_S
    _check(world, history)


# Guards against a failover that steps the new primary down again: the old
# primary, with the newest log, was promoted once more, and its holder died.
def test_promotion_of_the_old_primary_is_recognised_by_the_next_holder():
    world, history = _start(promotion_network.Delivery(0.1, True))
    network = world.promotion_network
    world.partition("u0", "u1", "u2")
    world.draining.add("u0")
    world.publish_entries()
    _run_until(world, lambda: bool(network.sent))
    target = network.sent[0].upstream
    world.kill_host(world.store.keys[store_items.DUTY_KEY].value)
    called_at = world.now
    _run_until(world, lambda: _is_recorded(world, target))
    assert world.now - called_at < FAILOVER_S + 2.0
    _check(world, history)
