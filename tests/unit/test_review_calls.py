"""Tests rules of the open promotion calls that no other test checks."""

from __future__ import annotations

import pytest

from fescueshunt.core import leadership, store_items
from fescueshunt.takeover import promotion_calls
from lib import hosted_clients, hosted_world, promotion_network

DATABASE = "db"
TOKEN = 28
FORMER_TOKEN = 14
NOW = 100.0
LIFETIME_S = promotion_calls.CALL_LIFETIME_S
KEY = leadership.record_key(hosted_world.DATABASE)
MAX_WAIT_S = 12.0


@pytest.fixture
def calls() -> promotion_calls.PromotionCalls:
    calls = promotion_calls.PromotionCalls()
    calls.take_duty(TOKEN)
    return calls


def _send(calls: promotion_calls.PromotionCalls, now: float) -> None:
    item = store_items.CallPromotion(
        now, DATABASE, "u1", "h0", TOKEN, send_before=now
    )
    calls.add_sent(item)


# Failure: the second of two calls takes effect after the first has expired, and
# another member has been promoted meanwhile.
def test_repeated_call_is_open_for_its_own_lifetime(calls):
    _send(calls, NOW)
    _send(calls, NOW + 1.0)
    after_first = NOW + LIFETIME_S + 0.5
    assert calls.open_targets(DATABASE, after_first) == {"u1"}
    assert not calls.may_call(DATABASE, "u2", after_first)


# Failure: each sight of an older record holds up the failover anew.
def test_former_call_that_is_seen_again_expires_at_the_same_time(calls):
    recorded = (leadership.RecordedCall("u1", FORMER_TOKEN, 1),)
    calls.load(DATABASE, recorded, NOW)
    calls.load(DATABASE, recorded, NOW + 5.0)
    assert calls.may_call(DATABASE, "u1", NOW + LIFETIME_S + 0.1)
    assert len(calls.to_record(DATABASE, NOW)) == 1


# Failure: a call that is over is recorded as open once more.
def test_call_that_took_effect_is_not_recorded_again(calls):
    _send(calls, NOW)
    _send(calls, NOW + 1.0)
    one_left = calls.record_for_primary(DATABASE, "u1", NOW + 2.0)
    calls.forget_unrecorded(DATABASE, one_left)
    assert calls.to_record(DATABASE, NOW + 2.0) == one_left


# Failure: a call for the old primary alone keeps its failover from being given
# up, though no other member may be promoted.
def test_call_for_one_member_is_none_for_others(calls):
    _send(calls, NOW)
    assert not calls.has_calls_for_others(DATABASE, "u1")
    assert calls.has_calls_for_others(DATABASE, "u0")


# Failure: the next holder announces its attempt without the call of the one
# before, so that a third holder doesn't know of it.
def test_next_holder_announces_the_open_call_of_the_one_before():
    world = hosted_world.World(1)
    late = promotion_network.Delivery(6.0, is_answer_lost=True)
    world.promotion_network.deliveries.append(late)
    world.run(1.0)
    hosted_clients.run_clients(world)
    world.run(1.0)
    world.crash("u0")
    sent = world.promotion_network.sent
    end = world.now + MAX_WAIT_S
    while not sent and world.now < end:
        world.run(hosted_world.TICK_S)
    world.kill_host(world.store.keys[store_items.DUTY_KEY].value)
    while not _has_begun_attempt(world) and world.now < end:
        world.run(hosted_world.TICK_S)
    world.run(0.1)
    assert _has_begun_attempt(world)
    assert world.promotion_network.has_late_calls
    record = leadership.parse_record(world.store.keys[KEY])
    open_calls = [(call.upstream, call.token) for call in record.calls]
    assert (sent[0].upstream, sent[0].token) in open_calls


def _has_begun_attempt(world: hosted_world.World) -> bool:
    """Returns whether a host that still runs has begun an attempt."""
    return any(
        decision.event == "replacing"
        for host in world.hosts.values()
        for decision in host.decisions
    )
