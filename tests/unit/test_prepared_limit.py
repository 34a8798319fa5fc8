"""How many prepared statements one upstream connection collects."""

from __future__ import annotations

import pytest

from fescueshunt.core import sessions
from fescueshunt.sessions import steps
from lib import connection_world

LIMIT = steps.MAX_PREPARED_PER_CONNECTION


def _make_world() -> connection_world.ConnectionWorld:
    world = connection_world.ConnectionWorld()
    world.connect(1, 2)
    return world


def _prepare_and_run(
    world: connection_world.ConnectionWorld, client: int, count: int
) -> None:
    for number in range(count):
        texts = (f"PREPARE s READ q{number}", "EXECUTE s i")
        assert world.do(client, *texts) == ["ok", "ok"]


def _most_names(world: connection_world.ConnectionWorld) -> int:
    return max(len(link.names) for link in world.links.values())


# Failure: a client that prepares ever new shapes makes its upstream keep all of
# them on each connection, for as long as the connection is open.
def test_connection_is_reset_before_it_collects_more_names():
    world = _make_world()
    world.do(1, "SET x 1")
    _prepare_and_run(world, 1, LIMIT)
    assert world.calls_of(sessions.Reset) == []
    assert _most_names(world) == LIMIT
    assert world.do(1, "PREPARE s READ more", "EXECUTE s i") == ["ok", "ok"]
    assert len(world.calls_of(sessions.Reset)) == 1
    assert _most_names(world) == 1
    assert world.do(1, "PREPARE s READ q0", "EXECUTE s i") == ["ok", "ok"]
    assert len(world.calls_of(sessions.Reset)) == 1
    assert world.judge.broken == []
    assert world.judge.judged_count == LIMIT + 2


# Failure: names that the connection has are reset and prepared again.
def test_known_names_of_a_full_connection_are_used():
    world = _make_world()
    _prepare_and_run(world, 1, LIMIT)
    prepared = len(world.calls_of(sessions.Prepare))
    _prepare_and_run(world, 2, 3)
    assert world.do(2, "READ i") == ["ok"]
    assert world.calls_of(sessions.Reset) == []
    assert len(world.calls_of(sessions.Prepare)) == prepared
    assert world.judge.broken == []


# Failure: a connection is reset inside a client's transaction.
@pytest.mark.parametrize("begun_at", [LIMIT - 2, LIMIT])
def test_full_connection_is_not_reset_inside_a_transaction(begun_at):
    world = _make_world()
    _prepare_and_run(world, 1, begun_at)
    world.do(2, "SET x 2", "BEGIN")
    for number in range(5):
        texts = (f"PREPARE s WRITE w{number}", "EXECUTE s i d")
        assert world.do(2, *texts) == ["ok", "ok"]
        assert all(
            link.transaction
            for link in world.open_links()
            if "x" in link.values
        )
    assert world.do(2, "COMMIT", "READ i") == ["ok", "ok"]
    resets = [
        position
        for position, (_, call) in enumerate(world.sent)
        if isinstance(call, sessions.Reset)
    ]
    begins = [
        position
        for position, (_, call) in enumerate(world.sent)
        if isinstance(call, sessions.Begin)
    ]
    assert all(reset < begins[0] for reset in resets)
    assert len(resets) == (begun_at == LIMIT)
    assert world.judge.broken == []
