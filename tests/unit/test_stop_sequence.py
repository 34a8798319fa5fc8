"""The steps of a graceful stop, from the listener's close to the exit."""

from __future__ import annotations

import pytest

from fescueshunt.core import process, session_items, sessions
from lib import stopping_world

GRACE_S = 6.0
LAST_ACCEPT_S = 2.48
# Clients that start late, after the listener has closed.
START_DELAYS_S = (0.03, 0.1, 0.2)
# The longest time that the exit takes after the last connection ended.
EXIT_S = 0.1
ROUND_TRIP_S = 0.025
READ = sessions.Verb.READ


def _stop_with_late_connection() -> stopping_world.StoppingWorld:
    """Returns a stopping host with a client connected before START."""
    world = stopping_world.StoppingWorld()
    world.stop()
    world.run(LAST_ACCEPT_S)
    world.connect(1)
    return world


# Failure: a host decides to exit while its listener still accepts clients.
def test_listener_closes_before_the_host_may_exit():
    world = stopping_world.StoppingWorld()
    world.stop()
    assert world.run_until_stopped(GRACE_S)
    (closed,) = world.of_type(session_items.StopListening)
    assert closed.at < world.stopped_at()


# Failure: a host exits though a client that it accepted before its listener
# closed has yet to request a session.
@pytest.mark.parametrize("start_delay_s", START_DELAYS_S)
def test_client_accepted_last_gets_its_answer_before_the_exit(start_delay_s):
    world = _stop_with_late_connection()
    world.run(start_delay_s)
    assert world.stopped_at() == 0.0
    world.start_session(1)
    world.statement_duration_s = 0.05
    world.send(1, "last", READ)
    assert world.run_until_stopped(GRACE_S - LAST_ACCEPT_S)
    assert world.failures_before_close(1, "last") == [None]


# Failure: a host waits until its grace period ends for a client that never
# requests a session.
def test_silent_client_does_not_hold_up_the_exit():
    world = _stop_with_late_connection()
    assert world.run_until_stopped(GRACE_S - LAST_ACCEPT_S)
    assert world.stopped_at() - stopping_world.STOP_AT < GRACE_S / 2
    (closed,) = world.of_type(session_items.CloseSession)
    assert closed.at < world.stopped_at() < closed.at + EXIT_S


# Failure: a host opens a session on a connection that it is closing, whose end
# cuts off the session's first statement.
def test_session_requested_on_a_closing_connection_is_refused():
    world = _stop_with_late_connection()
    world.client_stays_connected = True
    while not world.of_type(session_items.CloseSession):
        world.run(stopping_world.TICK_S)
    world.start_session(1)
    (effect,) = world.of_client(1)[1:]
    assert isinstance(effect, session_items.RejectSession)


# Failure: a host exits though a connection still has to deliver an answer.
def test_host_waits_for_a_connection_that_is_still_open():
    world = _stop_with_late_connection()
    world.client_stays_connected = True
    world.start_session(1)
    world.send(1, "last", READ)
    world.run(2.0)
    assert world.of_type(session_items.CloseSession)
    assert world.of_type(process.Stopped) == []
    world.disconnect(1)
    assert world.run_until_stopped(EXIT_S)


# Failure: a connection that never ends holds up the exit past the grace period.
def test_host_exits_within_the_grace_though_a_connection_is_open():
    world = _stop_with_late_connection()
    world.client_stays_connected = True
    assert world.run_until_stopped(GRACE_S)
    assert world.stopped_at() - stopping_world.STOP_AT < GRACE_S


# Failure: a host that was held up at its stop accepts the sessions that waited,
# and closes them before their first statement has crossed the network.
@pytest.mark.parametrize("held_up_s", [0.2, 0.9, 1.8])
def test_host_held_up_at_its_stop_answers_sessions_that_waited(held_up_s):
    world = stopping_world.StoppingWorld()
    world.stop()
    world.run(LAST_ACCEPT_S)
    world.freeze(stopping_world.HOST, held_up_s)
    world.connect(1)
    world.start_session(1)
    world.run(held_up_s + ROUND_TRIP_S)
    (effect, *_) = world.of_client(1)
    if isinstance(effect, session_items.RejectSession):
        return
    world.send(1, "first", READ)
    world.run(1.0)
    assert world.failures_before_close(1, "first") == [None]
