"""How long sessions may continue during a graceful stop."""

from __future__ import annotations

from fescueshunt.sessions import shutdown

GRACE_S = 6.0
# The load balancer needs two failed health checks, one a second, to stop
# sending sessions here. The last session may be opened just before that.
LAST_ARRIVAL_S = 2.0
FIRST_STATEMENT_S = 0.25


def _stopping() -> shutdown.Shutdown:
    graceful_stop = shutdown.Shutdown(GRACE_S)
    graceful_stop.start(10.0)
    return graceful_stop


def _draining() -> shutdown.Shutdown:
    graceful_stop = _stopping()
    assert graceful_stop.should_stop_listening(10.0 + 2.51, 0)
    graceful_stop.stop_listening()
    return graceful_stop


def test_listener_stays_open_until_the_host_is_out_of_rotation():
    graceful_stop = _stopping()
    assert not graceful_stop.should_stop_listening(10.0 + LAST_ARRIVAL_S, 0)
    assert not graceful_stop.is_complete(10.0 + GRACE_S, 0)


# Clients were refused by a closed listener while their host still worked for
# others.
def test_listener_stays_open_beside_work_for_half_the_grace():
    graceful_stop = _stopping()
    assert not graceful_stop.should_stop_listening(10.0 + GRACE_S / 2, 1)
    assert graceful_stop.should_stop_listening(10.0 + GRACE_S * 0.6, 1)


def test_open_transaction_may_continue_for_half_the_grace():
    graceful_stop = _stopping()
    for elapsed_s in (0.0, 2.0, GRACE_S / 2):
        assert not graceful_stop.should_close(10.0 + elapsed_s, 0.0, True)
    assert graceful_stop.should_close(10.0 + GRACE_S * 0.6, 0.0, True)


def test_late_session_may_send_its_first_statement():
    graceful_stop = _stopping()
    opened_at = 10.0 + LAST_ARRIVAL_S
    statement_at = opened_at + FIRST_STATEMENT_S
    assert not graceful_stop.should_close(statement_at, opened_at, False)
    graceful_stop.stop_listening()
    assert graceful_stop.should_close(10.0 + GRACE_S / 2, opened_at, False)


# A session opened just before the listener closes was closed by the next tick,
# before its first statement could arrive.
def test_last_session_may_send_its_first_statement():
    graceful_stop = _draining()
    opened_at = 10.0 + 2.5
    assert not graceful_stop.should_close(opened_at + 0.2, opened_at, False)
    assert graceful_stop.should_close(10.0 + GRACE_S * 0.6, opened_at, False)


# A statement in flight shortly before the end of the grace period was cut off
# without an answer.
def test_statement_in_flight_is_answered_shortly_before_the_end():
    graceful_stop = _draining()
    deadline = graceful_stop.statement_deadline
    assert 10.0 + GRACE_S - 1.0 <= deadline <= 10.0 + GRACE_S - 0.5
    assert not graceful_stop.is_complete(deadline + 0.1, 1)


def test_statements_have_no_deadline_of_a_stop_before_it_starts():
    graceful_stop = shutdown.Shutdown(GRACE_S)
    assert graceful_stop.statement_deadline == float("inf")


def test_stop_completes_without_sessions_and_out_of_rotation():
    assert not _stopping().is_complete(10.5, 0)
    graceful_stop = _draining()
    assert not graceful_stop.is_complete(10.0 + GRACE_S / 2, 1)
    assert graceful_stop.is_complete(10.0 + GRACE_S / 2, 0)


def test_stop_completes_before_the_process_is_killed():
    graceful_stop = _draining()
    assert not graceful_stop.is_complete(10.0 + GRACE_S - 0.5, 1)
    assert graceful_stop.is_complete(10.0 + GRACE_S - 0.2, 1)


# A session opened just before an isolated host closes its idle sessions was
# closed before its first statement could arrive.
def test_isolated_host_lets_a_new_session_send_its_first_statement():
    isolated = shutdown.Shutdown(GRACE_S)
    isolated.set_isolated(True, 10.0)
    assert not isolated.should_close(12.6, 12.5, False)
    assert isolated.should_close(12.6, 11.0, False)
    assert not isolated.should_close(12.6, 11.0, True)
