"""Control requests that wait for a connection to their upstream."""

from __future__ import annotations

import random

import pytest

from fescueshunt.core import filters, identity, session_items, sessions
from fescueshunt.sessions import choose, dispatch
from lib import crowded_upstream

DEADLINE = 1.0
UPSTREAM = crowded_upstream.PRIMARY
REPLY = sessions.UpstreamReply(
    (), "", None, "", sessions.TransactionState.IDLE, None
)


class _Host:
    """A dispatcher whose only connection runs a control request."""

    def __init__(self) -> None:
        own = identity.Identity("h0", "z", "127.0.0.1:1", 1)
        self._dispatcher = dispatch.Dispatcher(
            choose.LeastLoadedPolicy(own), random.Random(1)
        )
        for view in crowded_upstream.single_upstream_views(["h0"], 1, 1):
            self.feed(view)
        opened = self.request(0.0, sessions.GetStatus(), DEADLINE * 10)
        (self._connection,) = [
            item.connection_id
            for item in opened
            if isinstance(item, session_items.OpenConnection)
        ]
        self.feed(session_items.ConnectionOpened(0.0, self._connection))

    def feed(self, item: filters.Item) -> list[filters.Item]:
        return list(self._dispatcher.process(item))

    def request(
        self, now: float, call: sessions.UpstreamCall, deadline: float
    ) -> list[filters.Item]:
        return self.feed(
            session_items.CallUpstream(now, UPSTREAM, call, deadline)
        )

    def answer(self, now: float) -> list[filters.Item]:
        """Answers the call in flight, which releases the connection."""
        return self.feed(
            session_items.CallReplied(now, self._connection, REPLY)
        )


def _sent_calls(effects: list[filters.Item]) -> list[sessions.UpstreamCall]:
    return [
        item.call
        for item in effects
        if isinstance(item, session_items.SendCall)
    ]


# Guards against a step-down that acts after its sender has given it up, since
# it is sent as soon as a connection is free, even after its deadline.
def test_waiting_control_request_is_not_sent_after_its_deadline():
    host = _Host()
    host.request(0.1, sessions.StepDown(7), DEADLINE)
    effects = host.answer(DEADLINE + 0.5)
    assert _sent_calls(effects) == []
    given_up = [
        item
        for item in effects
        if isinstance(item, session_items.UpstreamCallCompleted)
        and item.reply is None
    ]
    assert [item.call for item in given_up] == [sessions.StepDown(7)]
    assert not given_up[0].sent


# Guards against a request that waits forever behind those that have expired.
@pytest.mark.parametrize("expired_count", [0, 1, 3])
def test_next_control_request_is_sent_in_time(expired_count: int):
    host = _Host()
    for term in range(expired_count):
        host.request(0.1, sessions.StepDown(term), DEADLINE)
    host.request(0.1, sessions.Pause(7), DEADLINE * 3)
    effects = host.answer(DEADLINE + 0.5)
    assert _sent_calls(effects) == [sessions.Pause(7)]
