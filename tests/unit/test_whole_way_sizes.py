"""Messages near the size limit on the whole way from clients to upstreams."""

from __future__ import annotations

import asyncio

import pytest

from lib import wire_answers, wire_judge, wire_world

MAX_MESSAGE_BYTES = 1 << 20
LINE_END = b"\r\n"
PREPARE = b"QUERY a1 PREPARE s1 READ "
EXECUTE = b"QUERY a2 EXECUTE s1 "
READ = b"QUERY a1 READ "
SET = b"QUERY a1 SET v1 "
PERMITTED_CODES = ("", "MALFORMED")


def _fill(start: bytes, size: int) -> bytes:
    """Returns a message of `size` bytes that begins with `start`."""
    return start + b"x" * (size - len(start) - len(LINE_END)) + LINE_END


def _converse(
    *messages: bytes, route: bytes = b"own"
) -> tuple[wire_world.WireWorld, list[str]]:
    """Sends messages; returns the world and the codes of the answers."""
    observer = wire_judge.JudgingObserver()
    world = wire_world.WireWorld(observer)

    async def scenario(world: wire_world.WireWorld) -> None:
        client, bystander = world.connect(), world.connect()
        client.send(b"START " + route + b" a" + LINE_END)
        bystander.send(b"START own b" + LINE_END)
        for number, message in enumerate(messages):
            client.send(message)
            await asyncio.sleep(0.2)
            bystander.send(b"QUERY b%d READ it0" % number + LINE_END)
            await asyncio.sleep(0.2)

    world.run(scenario)
    assert world.exceptions == []
    assert [reason for _, reason in world.upstreams.unreadable] == []
    assert list(observer.judge.violations) == []
    for client in world.clients:
        assert wire_answers.find_faults(client) == []
    assert world.suspected == []
    assert world.upstreams.lost == 0
    bystander_results = wire_answers.statement_results(world.clients[1])
    assert [code for _, code in bystander_results] == [""] * len(messages)
    results = wire_answers.statement_results(world.clients[0])
    return world, [code for _, code in results]


# Failure: a prepared shape that can't be sent ended as BUSY at each execution,
# or cost the connection.
@pytest.mark.parametrize("size", [600_000, MAX_MESSAGE_BYTES])
def test_long_shape_runs_or_is_refused_when_it_is_prepared(size):
    _, (*of_prepared, of_read) = _converse(
        _fill(PREPARE, size), EXECUTE + b"it0" + LINE_END, READ + b"a\r\n"
    )
    assert of_prepared in (["", ""], ["MALFORMED", "NOSTMT"])
    assert of_read == ""


# Failure: what the proxy adds made a message too long for the upstream.
@pytest.mark.parametrize("short_by", [0, 1, 5, 10, 40])
def test_long_read_runs_or_is_refused_as_malformed(short_by):
    _, (code,) = _converse(_fill(READ, MAX_MESSAGE_BYTES - short_by))
    assert code in PERMITTED_CODES


# Failure: the name of a prepared statement made its execution too long.
@pytest.mark.parametrize("short_by", [0, 5, 10, 40, 400])
def test_long_arguments_run_or_are_refused_as_malformed(short_by):
    _, (of_prepare, of_execute) = _converse(
        PREPARE + b"q5" * 20 + LINE_END,
        _fill(EXECUTE, MAX_MESSAGE_BYTES - short_by),
    )
    assert of_prepare == ""
    assert of_execute in PERMITTED_CODES


# Failure: a long value that was accepted couldn't be sent upstream, so that
# later statements failed.
@pytest.mark.parametrize("short_by", [0, 1, 10])
def test_long_value_is_set_or_refused_as_malformed(short_by):
    _, (of_set, of_read) = _converse(
        _fill(SET, MAX_MESSAGE_BYTES - short_by), b"QUERY a2 READ a\r\n"
    )
    assert of_set in PERMITTED_CODES
    assert of_read == ""


# Failure: the session went on after a message over the limit, whose rest was
# read as other messages.
@pytest.mark.parametrize("over", [1, 3, 100_000])
def test_message_over_the_limit_ends_its_session_with_an_error(over):
    world, codes = _converse(_fill(READ, MAX_MESSAGE_BYTES + over))
    assert codes in ([], ["MALFORMED"])
    assert world.clients[0].was_closed
