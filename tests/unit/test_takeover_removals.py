"""Each mechanism that a promise rests on, taken out: the check must notice.

Every scenario keeps the rules as it stands, and breaks one without the
mechanism.
"""

from __future__ import annotations

import pytest

from fescueshunt.core import replica_sets, sessions, store_items
from fescueshunt.sessions import choose
from fescueshunt.takeover import fence, participants
from lib import hosted_clients, hosted_world

WARM_S = 1.0
LONG_LEASE_S = 6.0
READER = 999
READ_EVERY_S = 0.1


def _warm(
    seed: int,
) -> tuple[hosted_world.World, hosted_clients.History, str]:
    """Returns a world under load, its history, and a host without the duty."""
    world = hosted_world.World(seed)
    world.run(WARM_S)
    history = hosted_clients.run_clients(world)
    world.run(WARM_S)
    holder = world.store.keys[store_items.DUTY_KEY].value
    other = next(name for name in sorted(world.hosts) if name != holder)
    return world, history, other


def _hide_primary_with(world: hosted_world.World, other: str) -> None:
    """Cuts off the primary together with one host that lost the store."""
    world.separate(other, hosted_world.STORE)
    rest = [name for name in world.hosts if name != other]
    world.separate("u0", "u1", "u2", *rest)


def _read_strictly(
    world: hosted_world.World, history: hosted_clients.History, host: str
) -> None:
    """Reads at the primary through `host`, again and again."""
    must = set(history.acked)

    def check(answer: sessions.SessionAnswer) -> None:
        if answer.failure is None and not must <= set(answer.rows):
            history.problems.append(f"stale read at {world.now:.3f}")

    world.open_session(host, READER, "strict")
    world.ask(host, READER, sessions.Verb.READ, "x", check)
    world.call_later(READ_EVERY_S, lambda: _read_strictly(world, history, host))


def play_primary_hidden_with_a_host(seed: int) -> list[str]:
    world, history, other = _warm(seed)
    _hide_primary_with(world, other)
    _read_strictly(world, history, other)
    world.run(8.0)
    world.heal()
    world.run(4.0)
    return hosted_clients.check_end(world, history)


def play_replica_behind(seed: int) -> list[str]:
    """One replica is deaf, the other out of reach as the primary crashes."""
    world, history, _ = _warm(seed)
    world.separate("u0", "u1")
    world.run(1.0)
    world.separate("u2", *world.hosts)
    world.crash("u0")
    world.run(3.0)
    world.heal()
    world.run(8.0)
    return hosted_clients.check_end(world, history)


def play_replicas_late(seed: int) -> list[str]:
    world, history, _ = _warm(seed)
    for name in ("u1", "u2"):
        world.replicas.members[name].lag_s = 2.0
    world.run(4.0)
    return hosted_clients.check_end(world, history)


def _without_acknowledgements(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(participants.Participants, "missing", lambda *_: {})
    patch.setattr(participants.Participants, "is_over", lambda *_: True)


def _without_confirmation(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        replica_sets.ReplicaSetView,
        "is_confirmed",
        lambda view, _: bool(view.primary),
    )


def _without_whole_fence(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(fence.Fence, "needed", 1)


def _without_positions(patch: pytest.MonkeyPatch) -> None:
    origin = replica_sets.PositionSample(0.0, hosted_world.ORIGIN).end
    patch.setattr(choose, "needed_position", lambda *_: origin)


CASES = {
    "acknowledgements": (
        _without_acknowledgements,
        play_primary_hidden_with_a_host,
        LONG_LEASE_S,
    ),
    "confirmation": (
        _without_confirmation,
        play_primary_hidden_with_a_host,
        store_items.LEASE_TTL_S,
    ),
    "whole fence": (
        _without_whole_fence,
        play_replica_behind,
        store_items.LEASE_TTL_S,
    ),
    "positions": (
        _without_positions,
        play_replicas_late,
        store_items.LEASE_TTL_S,
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_the_scenario_keeps_every_rule(
    name: str, monkeypatch: pytest.MonkeyPatch
):
    _, play, lease_s = CASES[name]
    monkeypatch.setattr(store_items, "LEASE_TTL_S", lease_s)
    assert play(1) == []


@pytest.mark.parametrize("name", CASES)
def test_without_the_mechanism_a_rule_breaks(
    name: str, monkeypatch: pytest.MonkeyPatch
):
    remove, play, lease_s = CASES[name]
    monkeypatch.setattr(store_items, "LEASE_TTL_S", lease_s)
    remove(monkeypatch)
    assert play(1) != []
