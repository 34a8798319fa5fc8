"""The takeover pipe: the duty, votes, and replacing a primary."""

from __future__ import annotations

from fescueshunt.core import (
    session_items,
)
from lib import hosted_world


def test_a_free_duty_is_taken_once_the_lease_is_known():
    host = hosted_world.Host("h1", names=("h1",))
    host.start()
    host.pass_time(0.5)
    written = host.store.keys.get(session_items.DUTY_KEY)
    assert written is not None
    assert written.value == "h1"
