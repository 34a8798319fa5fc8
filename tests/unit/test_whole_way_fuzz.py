"""Fuzz tests of the whole way from clients to upstreams and back, in bytes.

`WHOLE_WAY_EXAMPLES` sets the number of examples of each test, which are then
random; `WHOLE_WAY_SEED` makes them depend on a seed.
"""

from __future__ import annotations

import os

import hypothesis
import pytest

from lib import (
    wire_answers,
    wire_judge,
    wire_strategies,
    wire_upstreams,
    wire_world,
)

EXAMPLES = int(os.environ.get("WHOLE_WAY_EXAMPLES", "0"))
SEED = os.environ.get("WHOLE_WAY_SEED", "")
CI_EXAMPLES = 150
Fault = wire_upstreams.Fault


def _configure(test):
    """Applies the settings; by default, the examples are always the same."""
    settings = hypothesis.settings(
        max_examples=EXAMPLES or CI_EXAMPLES,
        derandomize=not EXAMPLES,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    if EXAMPLES and SEED:
        test = hypothesis.seed(int(SEED))(test)
    return settings(test)


def _step(client: int, *texts: bytes, wait_ms: int = 3, **fields):
    lines = tuple(b"QUERY @ " + text for text in texts)
    return wire_strategies.Step(client, lines, wait_ms=wait_ms, **fields)


def _run(
    steps: list[wire_strategies.Step],
    faults: list[Fault | None] = (),
) -> tuple[wire_world.WireWorld, wire_strategies.Play]:
    observer = wire_judge.JudgingObserver()
    world = wire_world.WireWorld(observer, faults=faults)
    play = wire_strategies.Play(steps)
    world.run(play.run)
    assert world.exceptions == []
    assert world.upstreams.unreadable == []
    assert list(observer.judge.violations) == []
    faults_found = [
        fault
        for client in world.clients
        for fault in wire_answers.find_faults(client)
    ]
    assert faults_found == []
    assert wire_answers.find_broken_promises(world) == []
    return world, play


def _run_without_faults(steps: list[wire_strategies.Step]) -> None:
    world, play = _run(steps)
    assert world.suspected == []
    assert world.upstreams.lost == 0
    results = wire_answers.statement_results(play.bystander)
    assert [error for _, error in results] == [""] * len(results)


_SHAPE_WITH_BLANKS = [
    _step(0, b"PREPARE s1 READ q5 READ cq", b"EXECUTE s1 it0"),
    _step(1, b"PREPARE s1 READ q5", b"EXECUTE s1 it0"),
]
_BYSTANDER_RUNS_OTHER_SHAPE = [
    _step(0, b"BEGIN", b"ROLLBACK", wait_ms=20),
    _step(1, b"PREPARE s1 READ q5 WRITE cq", b"EXECUTE s1 it0", wait_ms=20),
]
_WRITE_SHAPE = [_step(0, b"PREPARE s1 WRITE rstr WRITE", b"EXECUTE s1 it0 x")]
_SHAPE_ENDS_IN_BLANK = [_step(0, b"PREPARE s1 READ q5 ", b"EXECUTE s1 it0")]


# Failure: a shape that holds blanks changed what prepared statements ran.
@_configure
@hypothesis.given(steps=wire_strategies.LEGAL_PLAYS)
@hypothesis.example(steps=_SHAPE_WITH_BLANKS)
@hypothesis.example(steps=_BYSTANDER_RUNS_OTHER_SHAPE)
@hypothesis.example(steps=_WRITE_SHAPE)
@hypothesis.example(steps=_SHAPE_ENDS_IN_BLANK)
def test_what_runs_is_what_each_client_asked_for(steps):
    _run_without_faults(steps)


# Failure: a bare CR or LF, or an empty field, reached upstreams, or the client
# itself, where it can be read as the end of a line or of a field.
@_configure
@hypothesis.given(steps=wire_strategies.ANY_PLAYS)
@hypothesis.example(steps=[_step(0, b"READ a\rb")])
@hypothesis.example(steps=[_step(0, b"READ a\nQUERY - WRITE b c")])
@hypothesis.example(steps=[_step(0, b"PREPARE s1 READ q5", b"EXECUTE s1 ")])
@hypothesis.example(steps=[_step(0, b"READ a", route=b"no\rroute")])
@hypothesis.example(steps=[_step(0, b"WRITE it0")])
def test_malformed_messages_harm_only_their_client(steps):
    _run_without_faults(steps)


_SET_MAY_HAVE_RUN = [
    _step(0, b"SET s1 other", b"READ it0"),
    _step(1, b"READ it0"),
]


# Failure: a SET that failed but had run left its value to another client.
@_configure
@hypothesis.given(
    steps=wire_strategies.LEGAL_PLAYS, faults=wire_strategies.FAULTS
)
@hypothesis.example(steps=_SET_MAY_HAVE_RUN, faults=[Fault.FAILED])
@hypothesis.example(steps=_SET_MAY_HAVE_RUN, faults=[Fault.TIMEOUT])
def test_what_runs_is_what_was_asked_for_while_upstreams_fail(steps, faults):
    _run(steps, faults)


_CONVERSATIONS = {
    "prepared_write": [
        _step(0, b"SET v1 x", b"PREPARE s1 WRITE q6", b"EXECUTE s1 it0 d"),
        _step(1, b"READ it0"),
        _step(0, b"EXECUTE s1 it1 d", wait_ms=50),
    ],
    "single_write": [_step(0, b"WRITE it0 d"), _step(1, b"WRITE it1 d")],
    "transaction": [
        _step(0, b"BEGIN", b"READ it0", b"WRITE it0 d", b"COMMIT"),
        _step(0, b"READ it0"),
    ],
    "changed_values": [
        _step(0, b"SET v1 x", b"READ it0", wait_ms=20),
        _step(1, b"SET v2 y", b"READ it0", wait_ms=20),
        _step(0, b"READ it0", wait_ms=20),
    ],
}
_MAX_CALLS = 7


# Failure: after one failed call, a later statement runs with another session's
# values or in the wrong transaction.
@pytest.mark.parametrize("fault", Fault, ids=lambda fault: fault.name)
@pytest.mark.parametrize("name", _CONVERSATIONS)
def test_one_fault_at_each_call_changes_nothing_else(name, fault):
    for position in range(_MAX_CALLS):
        _run(_CONVERSATIONS[name], [*[None] * position, fault])
