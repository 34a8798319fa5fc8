"""Connections that go silent, and clients that do, hold nothing for ever."""

from __future__ import annotations

from fescueshunt.core import sessions
from lib import hosted_world


def test_a_rollback_on_a_silent_connection_does_not_keep_it():
    world = hosted_world.World(hosts=1)
    world.run(1.0)
    world.open_session("h0", 1, "strict")
    for verb in (sessions.Verb.BEGIN, sessions.Verb.WRITE):
        world.send_statement("h0", 1, verb, "a")
        world.run(0.1)
    held = set(world.hosts["h0"].connections)
    world.partition("h0", "u0")
    world.send_statement("h0", 1, sessions.Verb.ROLLBACK)
    world.run(2.0)
    kept = {
        number
        for number in held & set(world.hosts["h0"].connections)
        if world.hosts["h0"].connections[number].member.name == "u0"
        and world.hosts["h0"].connections[number].session.state
        is sessions.TransactionState.OPEN
    }
    assert kept == set()


def test_a_client_that_says_nothing_in_its_transaction_holds_no_connection():
    world = hosted_world.World(hosts=1)
    world.run(1.0)
    world.open_session("h0", 1, "strict")
    for verb in (sessions.Verb.BEGIN, sessions.Verb.WRITE):
        world.send_statement("h0", 1, verb, "a")
        world.run(0.1)
    world.run(6.0)
    states = {
        link.session.state for link in world.hosts["h0"].connections.values()
    }
    assert sessions.TransactionState.OPEN not in states
    got = world.send_statement("h0", 1, sessions.Verb.COMMIT)
    world.run(0.1)
    assert got[0].failure is sessions.Failure.ABORTED
