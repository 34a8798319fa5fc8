"""Back-off between connection attempts."""

from __future__ import annotations

import random

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
