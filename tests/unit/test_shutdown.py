"""A graceful stop: who may still finish what, until when."""

from __future__ import annotations

from fescueshunt.sessions import shutdown

GRACE_S = 6.0
# Two misses, one a second, and a session that is opened right before.
LAST_ARRIVAL_S = 2.0
FIRST_STATEMENT_S = 0.25


def _stopping() -> shutdown.Shutdown:
    stop = shutdown.Shutdown(GRACE_S)
    stop.start(10.0)
    return stop


def test_an_open_transaction_has_the_first_half_of_the_grace():
    stop = _stopping()
    for passed_s in (0.0, 2.0, GRACE_S / 2):
        assert not stop.should_close(10.0 + passed_s, True, True)
    assert stop.should_close(10.0 + GRACE_S * 0.6, True, True)


def test_a_session_that_the_balancer_still_sent_may_say_what_it_wants():
    stop = _stopping()
    asked_at = 10.0 + LAST_ARRIVAL_S + FIRST_STATEMENT_S
    assert not stop.should_close(asked_at, True, False)
    assert stop.should_close(10.0 + GRACE_S / 2, True, False)


def test_a_statement_under_way_may_end_until_shortly_before_the_grace():
    stop = _stopping()
    assert not stop.should_close(10.0 + GRACE_S - 1.0, False, False)
    assert stop.should_close(10.0 + GRACE_S - 0.5, False, False)


def test_a_stop_is_over_once_nobody_is_left_and_the_balancer_knows():
    stop = _stopping()
    assert not stop.is_complete(10.5, 0)
    assert not stop.is_complete(10.0 + GRACE_S / 2, 1)
    assert stop.is_complete(10.0 + GRACE_S / 2, 0)
