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


def test_open_transaction_may_continue_for_half_the_grace():
    graceful_stop = _stopping()
    for elapsed_s in (0.0, 2.0, GRACE_S / 2):
        assert not graceful_stop.should_close(10.0 + elapsed_s, True, True)
    assert graceful_stop.should_close(10.0 + GRACE_S * 0.6, True, True)


def test_late_session_may_send_its_first_statement():
    graceful_stop = _stopping()
    statement_at = 10.0 + LAST_ARRIVAL_S + FIRST_STATEMENT_S
    assert not graceful_stop.should_close(statement_at, True, False)
    assert graceful_stop.should_close(10.0 + GRACE_S / 2, True, False)


def test_statement_in_flight_may_finish_until_shortly_before_the_end():
    graceful_stop = _stopping()
    assert not graceful_stop.should_close(10.0 + GRACE_S - 1.0, False, False)
    assert graceful_stop.should_close(10.0 + GRACE_S - 0.5, False, False)


def test_stop_completes_without_sessions_and_out_of_rotation():
    graceful_stop = _stopping()
    assert not graceful_stop.is_complete(10.5, 0)
    assert not graceful_stop.is_complete(10.0 + GRACE_S / 2, 1)
    assert graceful_stop.is_complete(10.0 + GRACE_S / 2, 0)
