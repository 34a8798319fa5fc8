"""Tests that the log tells the calls for promotions and their outcomes."""

from __future__ import annotations

from lib import hosted_world


def _events(world: hosted_world.World, name: str) -> list[dict]:
    return [
        dict(decision.details)
        for host in world.hosts.values()
        for decision in host.decisions
        if decision.event == name
    ]


def _world_with_failover(lost_answers: int) -> hosted_world.World:
    world = hosted_world.World()
    world.run(2.0)
    world.promotion_answers_to_lose = lost_answers
    world.crash("u0")
    world.run(6.0)
    return world


def test_log_names_the_fence_and_the_promotion():
    world = _world_with_failover(lost_answers=0)
    (fenced,) = _events(world, "fenced")
    (called,) = _events(world, "promotion_called")
    (answered,) = _events(world, "promotion_answered")
    assert set(fenced["positions"]) == {"u1", "u2"}
    assert called["upstream"] == world.replicas.primary().name
    assert answered["upstream"] == called["upstream"]
    assert answered["result"] == "accepted"
    assert answered["took_s"] < hosted_world.CALL_TIMEOUT_S


def test_log_says_that_the_outcome_of_a_promotion_is_unknown():
    world = _world_with_failover(lost_answers=1)
    results = [each["result"] for each in _events(world, "promotion_answered")]
    assert results == ["unknown", "accepted"]
    assert len(_events(world, "promotion_called")) == len(results)
