"""Tests that the history check fails when a safety mechanism is removed.

Each scenario passes the check with the mechanism and fails it without.
"""

from __future__ import annotations

import pytest

from fescueshunt.core import replica_sets, sessions, store_items
from fescueshunt.replicas import poll
from fescueshunt.sessions import choose
from fescueshunt.takeover import fence, participants
from lib import hosted_clients, hosted_nodes, hosted_world

WARM_UP_S = 1.0
LONG_LEASE_S = 6.0
READER_CLIENT = 999
READ_EVERY_S = 0.1


def _start_world_under_load(
    seed: int,
) -> tuple[hosted_world.World, hosted_clients.ClientHistory, str]:
    """Returns a loaded world, its history, and a host without the duty."""
    world = hosted_world.World(seed)
    world.run(WARM_UP_S)
    history = hosted_clients.run_clients(world)
    world.run(WARM_UP_S)
    holder = world.store.keys[store_items.DUTY_KEY].value
    other_host = next(name for name in sorted(world.hosts) if name != holder)
    return world, history, other_host


def _partition_primary_with(world: hosted_world.World, other_host: str) -> None:
    """Leaves `other_host` as the only host that reaches the primary.

    The network partition also separates `other_host` from the store, and the
    primary from its replicas.
    """
    world.partition(other_host, hosted_world.STORE)
    other_hosts = [name for name in world.hosts if name != other_host]
    world.partition("u0", "u1", "u2", *other_hosts)


def _read_at_primary_repeatedly(
    world: hosted_world.World, history: hosted_clients.ClientHistory, host: str
) -> None:
    """Reads at the primary through `host` every `READ_EVERY_S` seconds."""
    expected_rows = set(history.acknowledged_at)

    def check(answer: sessions.SessionAnswer) -> None:
        if answer.failure is None and not expected_rows <= set(answer.rows):
            history.violations.append(f"stale read at {world.now:.3f}")

    world.open_session(host, READER_CLIENT, "strict")
    world.send_statement(host, READER_CLIENT, sessions.Verb.READ, "x", check)
    world.call_later(
        READ_EVERY_S, lambda: _read_at_primary_repeatedly(world, history, host)
    )


def run_primary_partitioned_with_host(seed: int) -> list[str]:
    world, history, other_host = _start_world_under_load(seed)
    _partition_primary_with(world, other_host)
    _read_at_primary_repeatedly(world, history, other_host)
    world.run(8.0)
    world.heal()
    world.run(4.0)
    return hosted_clients.find_violations(world, history)


def run_replica_behind(seed: int) -> list[str]:
    """Crashes the primary while one replica is behind.

    One replica receives nothing from the primary, and no host reaches the other
    one.
    """
    world, history, _ = _start_world_under_load(seed)
    world.partition("u0", "u1")
    world.run(1.0)
    world.partition("u2", *world.hosts)
    world.crash("u0")
    world.run(3.0)
    world.heal()
    world.run(8.0)
    return hosted_clients.find_violations(world, history)


def run_replicas_lagging(seed: int) -> list[str]:
    world, history, _ = _start_world_under_load(seed)
    for name in ("u1", "u2"):
        world.replicas.members[name].lag_s = 2.0
    world.run(4.0)
    return hosted_clients.find_violations(world, history)


def _without_acknowledgements(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(participants.Participants, "unacknowledged", lambda *_: {})
    patch.setattr(
        participants.Participants,
        "have_removed_leases_expired",
        lambda *_: True,
    )


def _without_confirmation(patch: pytest.MonkeyPatch) -> None:
    """Relies on each known primary, and doesn't ask members without a lease."""
    patch.setattr(poll.StatusPoller, "_poll_without_lease", lambda *_: None)
    patch.setattr(
        replica_sets.ReplicaSetView,
        "is_confirmed",
        lambda view, _: bool(view.primary),
    )


def _without_whole_fence(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(fence.Fence, "required", 1)


def _without_positions(patch: pytest.MonkeyPatch) -> None:
    origin = replica_sets.PositionSample(0.0, hosted_nodes.ORIGIN).end
    patch.setattr(choose, "needed_position", lambda *_: origin)


CASES = {
    "acknowledgements": (
        _without_acknowledgements,
        run_primary_partitioned_with_host,
        LONG_LEASE_S,
    ),
    "confirmation": (
        _without_confirmation,
        run_primary_partitioned_with_host,
        store_items.LEASE_TTL_S,
    ),
    "whole fence": (
        _without_whole_fence,
        run_replica_behind,
        store_items.LEASE_TTL_S,
    ),
    "positions": (
        _without_positions,
        run_replicas_lagging,
        store_items.LEASE_TTL_S,
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_scenario_has_no_violations(name: str, monkeypatch: pytest.MonkeyPatch):
    _, run_scenario, lease_s = CASES[name]
    monkeypatch.setattr(store_items, "LEASE_TTL_S", lease_s)
    assert run_scenario(1) == []


@pytest.mark.parametrize("name", CASES)
def test_scenario_fails_without_the_mechanism(
    name: str, monkeypatch: pytest.MonkeyPatch
):
    remove, run_scenario, lease_s = CASES[name]
    monkeypatch.setattr(store_items, "LEASE_TTL_S", lease_s)
    remove(monkeypatch)
    assert run_scenario(1) != []
