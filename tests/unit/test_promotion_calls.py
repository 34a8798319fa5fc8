"""Tests which promotions may be called for or relied on beside an open call."""

from __future__ import annotations

import pytest

from fescueshunt.core import leadership, store_items
from fescueshunt.takeover import promotion_calls

DATABASE = "db"
OTHER_DATABASE = "other"
TOKEN = 28
FORMER_TOKEN = 14
NOW = 100.0
ARRIVAL_S = promotion_calls.CALL_LIFETIME_S


@pytest.fixture
def calls() -> promotion_calls.PromotionCalls:
    calls = promotion_calls.PromotionCalls()
    calls.take_duty(TOKEN)
    return calls


def _send(
    calls: promotion_calls.PromotionCalls, upstream: str, now: float = NOW
) -> None:
    item = store_items.CallPromotion(
        now, DATABASE, upstream, "h0", TOKEN, send_before=now
    )
    calls.add_sent(item)


def _answer(
    calls: promotion_calls.PromotionCalls, upstream: str, done: bool | None
) -> None:
    item = store_items.PromotionCompleted(NOW, DATABASE, upstream, done, "")
    calls.handle_answer(item)


def _load_former_call(
    calls: promotion_calls.PromotionCalls, count: int = 1
) -> None:
    recorded = leadership.RecordedCall("u1", FORMER_TOKEN, count)
    calls.load(DATABASE, (recorded,), NOW)


def test_only_the_target_of_an_open_call_is_promoted_or_relied_on(calls):
    _send(calls, "u1")
    _answer(calls, "u1", None)
    before = NOW + ARRIVAL_S - 0.1
    assert calls.open_targets(DATABASE, before) == {"u1"}
    assert calls.may_call(DATABASE, "u1", before)
    assert calls.is_only_open_target(DATABASE, "u1", before)
    assert not calls.may_call(DATABASE, "u2", before)
    assert not calls.is_only_open_target(DATABASE, "u2", before)
    assert calls.may_call(OTHER_DATABASE, "u9", before)


def test_expired_call_holds_up_nothing_but_stays_known(calls):
    _send(calls, "u1")
    _answer(calls, "u1", None)
    after = NOW + ARRIVAL_S + 0.1
    assert calls.may_call(DATABASE, "u2", after)
    assert calls.is_only_open_target(DATABASE, "u2", after)
    assert calls.has_calls_for_others(DATABASE, "u0")
    expired = leadership.RecordedCall("u1", TOKEN, 0)
    assert calls.to_record(DATABASE, after) == (expired,)
    assert calls.record_for_primary(DATABASE, "u2", after) == ()


def test_refused_call_is_over(calls):
    _send(calls, "u1")
    _answer(calls, "u1", False)
    assert not calls.has_calls(DATABASE)


def test_refusal_does_not_end_an_earlier_call_without_an_answer(calls):
    _send(calls, "u1")
    _answer(calls, "u1", None)
    _send(calls, "u1", NOW + 1.0)
    _answer(calls, "u1", False)
    assert calls.open_targets(DATABASE, NOW + ARRIVAL_S - 0.1) == {"u1"}


def test_accepted_call_is_open_until_its_primary_is_recorded(calls):
    _send(calls, "u1")
    _answer(calls, "u1", True)
    assert not calls.may_call(DATABASE, "u2", NOW + 1.0)
    recorded = calls.record_for_primary(DATABASE, "u1", NOW + 1.0)
    assert recorded == ()
    assert calls.open_targets(DATABASE, NOW + 1.0) == {"u1"}
    calls.forget_unrecorded(DATABASE, recorded)
    assert not calls.has_calls(DATABASE)


# An effect that was seen twice, as its record was lost, ended two calls: the
# second one took effect after a later promotion.
def test_one_effect_ends_one_call_however_often_it_is_seen(calls):
    _send(calls, "u1")
    _answer(calls, "u1", None)
    _send(calls, "u1", NOW + 1.0)
    one_left = (leadership.RecordedCall("u1", TOKEN, 1),)
    assert calls.record_for_primary(DATABASE, "u1", NOW + 2.0) == one_left
    assert calls.record_for_primary(DATABASE, "u1", NOW + 2.0) == one_left
    calls.forget_unrecorded(DATABASE, one_left)
    assert calls.open_targets(DATABASE, NOW + 2.0) == {"u1"}


# A former holder's call arrived after one of the next holder, so that fencing
# tokens went back.
def test_no_call_is_sent_while_one_of_a_former_holder_is_open(calls):
    _load_former_call(calls)
    before, after = NOW + ARRIVAL_S - 0.1, NOW + ARRIVAL_S + 0.1
    assert not calls.may_call(DATABASE, "u1", before)
    assert not calls.may_call(OTHER_DATABASE, "u9", before)
    assert calls.is_only_open_target(DATABASE, "u1", before)
    assert calls.may_call(DATABASE, "u1", after)
    assert calls.may_call(OTHER_DATABASE, "u9", after)


def test_former_call_that_took_effect_holds_up_no_other_call(calls):
    _load_former_call(calls)
    calls.forget_unrecorded(
        DATABASE, calls.record_for_primary(DATABASE, "u1", NOW)
    )
    assert calls.may_call(OTHER_DATABASE, "u9", NOW)


def test_former_call_sent_twice_may_still_arrive_once_in_effect(calls):
    _load_former_call(calls, count=2)
    calls.forget_unrecorded(
        DATABASE, calls.record_for_primary(DATABASE, "u1", NOW)
    )
    assert not calls.may_call(OTHER_DATABASE, "u9", NOW)


def test_call_that_had_expired_before_the_duty_was_taken_holds_up_nothing(
    calls,
):
    _load_former_call(calls, count=0)
    assert calls.may_call(DATABASE, "u2", NOW)
    assert calls.has_calls(DATABASE)


def test_further_call_is_recorded_with_those_sent_before(calls):
    _load_former_call(calls)
    former = leadership.RecordedCall("u1", FORMER_TOKEN, 1)
    first = leadership.RecordedCall("u1", TOKEN, 1)
    second = leadership.RecordedCall("u1", TOKEN, 2)
    assert calls.record_with_call(DATABASE, "u1", NOW) == (former, first)
    _send(calls, "u1")
    assert calls.to_record(DATABASE, NOW) == (former, first)
    assert calls.record_with_call(DATABASE, "u1", NOW) == (former, second)


# A holder that lost the duty and found it again under the same token had
# forgotten its call, and promoted another upstream.
def test_calls_are_kept_when_the_duty_returns_with_the_same_token(calls):
    _send(calls, "u1")
    calls.take_duty(0)
    calls.take_duty(TOKEN)
    assert calls.open_targets(DATABASE, NOW) == {"u1"}


def test_next_duty_starts_without_calls(calls):
    _send(calls, "u1")
    calls.take_duty(TOKEN + 1)
    assert not calls.has_calls(DATABASE)
