"""Back-off between connection attempts."""

from __future__ import annotations

import random

import pytest

from fescueshunt.core import reconnect

FAILURES = 3000
MAX_S = 1.0


# Failure: after 1024 failed attempts each one raises, so that a host whose
# upstream is away for long handles no ticks and can't stop.
def test_backoff_stays_bounded_after_thousands_of_failures():
    backoff = reconnect.ReconnectBackoff(0.02, MAX_S)
    for _ in range(FAILURES):
        backoff.record_failure(0.0, random.Random(1))
    assert 0.0 < backoff.retry_at <= MAX_S


# Failure: after 1024 ballots for one database each further one raises, so that
# its primary is never replaced.
@pytest.mark.parametrize(
    ("doublings", "delay_s"), [(0, 0.02), (3, 0.16), (FAILURES, MAX_S)]
)
def test_doubled_delay_is_bounded(doublings, delay_s):
    delay = reconnect.doubled_delay_s(0.02, doublings, MAX_S)
    assert delay == pytest.approx(delay_s)
