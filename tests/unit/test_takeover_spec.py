"""Replays counterexamples of the takeover specification on the real code."""

from __future__ import annotations

import dataclasses

import pytest
from spec.takeover import removals

from fescueshunt.core import store_items
from fescueshunt.takeover import (
    fence,
    promotion_calls,
    promotion_check,
    record_writer,
)
from lib import takeover_replayer


def _new_group(removal: removals.Removal) -> takeover_replayer.Group:
    bounds = removal.bounds
    return takeover_replayer.Group(bounds.attempts, by_status=bounds.by_status)


@pytest.mark.parametrize("removal", removals.REMOVALS, ids=lambda r: r.name)
def test_production_code_withstands_the_counterexample(removal):
    group = _new_group(removal)
    for label in removal.read_trace():
        group.run_step(label)
        assert group.find_violations() == []
    assert any(holder.attempt for holder in group.holders)


def test_replay_promotes_when_every_rule_holds():
    group = takeover_replayer.Group(1)
    trace = (
        "write 0",
        "replicate 0 1",
        "ack 0",
        "begin 0",
        "fence 0 1",
        "fence 0 2",
        "acknowledge",
        "promote 0",
    )
    for label in trace:
        group.run_step(label)
    assert group.tokens == [1]
    assert group.replicas.primary().name == "u1"
    assert group.find_violations() == []


def _replay_violations(name: str) -> list[str]:
    removal = next(r for r in removals.REMOVALS if r.name == name)
    group = _new_group(removal)
    for label in removal.read_trace():
        group.run_step(label)
    return group.find_violations()


def test_without_counting_silent_members_a_replica_loses_a_commit(
    monkeypatch: pytest.MonkeyPatch,
):
    def required(self):
        return len(self._members) - 1

    monkeypatch.setattr(fence.Fence, "required", property(required))
    assert _replay_violations("silent_counts") == ["lost first"]


def test_without_confirmed_fences_a_restarted_replica_loses_a_commit(
    monkeypatch: pytest.MonkeyPatch,
):
    def begin(self, members):
        self.confirmed = dict(members)
        yield store_items.ReadKey(self.started_at, store_items.DUTY_KEY)

    monkeypatch.setattr(promotion_check.PromotionCheck, "begin", begin)
    assert _replay_violations("fence_holds") == ["lost first"]


def _remove_duty_read(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        promotion_check.PromotionCheck, "record_duty", lambda *_: True
    )
    monkeypatch.setattr(
        promotion_check.PromotionCheck, "is_duty_confirmed", lambda *_: True
    )


def test_without_the_duty_checks_fencing_tokens_decrease(
    monkeypatch: pytest.MonkeyPatch,
):
    guarded_write = record_writer.RecordWriter.write

    def write(self, record, now):
        write = guarded_write(self, record, now)
        self._last_write = dataclasses.replace(write, guard=None)
        return self._last_write

    _remove_duty_read(monkeypatch)
    monkeypatch.setattr(record_writer.RecordWriter, "write", write)
    assert _replay_violations("duty_check") == ["tokens went back: [2, 1]"]


def test_record_of_the_call_confirms_the_duty_without_its_read(
    monkeypatch: pytest.MonkeyPatch,
):
    _remove_duty_read(monkeypatch)
    assert _replay_violations("duty_check") == []


def test_without_the_rules_about_late_calls_the_incident_happens(
    monkeypatch: pytest.MonkeyPatch,
):
    calls = promotion_calls.PromotionCalls
    monkeypatch.setattr(calls, "load", lambda *_: None)
    monkeypatch.setattr(calls, "is_only_open_target", lambda *_: True)
    assert _replay_violations("late_promotion") == ["lost second"]


def test_unrecorded_call_loses_a_commit_of_the_next_holder(
    monkeypatch: pytest.MonkeyPatch,
):
    monkeypatch.setattr(promotion_calls.PromotionCalls, "load", lambda *_: None)
    assert _replay_violations("call_recorded") == ["lost first"]


def test_relying_on_a_primary_that_may_be_replaced_loses_a_commit(
    monkeypatch: pytest.MonkeyPatch,
):
    monkeypatch.setattr(
        promotion_calls.PromotionCalls, "is_only_open_target", lambda *_: True
    )
    assert _replay_violations("rely_late") == ["lost second"]


def test_without_waiting_for_former_calls_fencing_tokens_decrease(
    monkeypatch: pytest.MonkeyPatch,
):
    monkeypatch.setattr(
        promotion_calls.PromotionCalls,
        "may_call",
        promotion_calls.PromotionCalls.is_only_open_target,
    )
    assert _replay_violations("former_calls") == ["tokens went back: [2, 1]"]


def test_undone_fence_loses_a_commit_when_the_call_takes_effect(
    monkeypatch: pytest.MonkeyPatch,
):
    monkeypatch.setattr(
        promotion_calls.PromotionCalls,
        "has_calls_for_others",
        lambda *_: False,
    )
    assert _replay_violations("no_undo") == ["lost first"]


def test_unpaused_former_primary_confirms_a_commit_that_is_lost(
    monkeypatch: pytest.MonkeyPatch,
):
    def fence_for(*args, **kwargs):
        kwargs["is_old_primary_certain"] = True
        return original(*args, **kwargs)

    original = fence.fence_for
    monkeypatch.setattr(fence, "fence_for", fence_for)
    assert _replay_violations("pause_old") == ["lost second"]


def test_call_is_sent_once_those_of_a_former_holder_are_void():
    group = takeover_replayer.Group(2)
    trace = (
        "begin 0",
        "fence 0 1",
        "fence 0 2",
        "acknowledge",
        "call 0",
        "next_holder",
        "begin 1",
        "fence 1 0",
        "fence 1 2",
        "call 1",
    )
    for label in trace:
        group.run_step(label)
    assert [call.upstream for call in group.open_promotions] == ["u1"]
    group.run_step("void 1 1")
    group.run_step("call 1")
    assert [call.upstream for call in group.open_promotions] == ["u2"]
    group.run_step("arrive 2 2")
    group.run_step("record 1 2")
    assert group.record().upstream == "u2"
    assert not group.record().is_failing_over
    assert group.find_violations() == []


def test_incomplete_fence_promotes_nobody_after_an_unrecorded_leader():
    group = takeover_replayer.Group(2, by_status=True)
    trace = (
        "begin 0",
        "fence 0 1",
        "fence 0 2",
        "acknowledge",
        "call 0",
        "next_holder",
        "arrive 1 1",
        "begin 1",
        "fence 1 0",
        "fence 1 2",
        "call 1",
        # The holder's next attempt sees u1 lead, but u2 is still called for.
        "begin 1",
        "fence 1 0",
        "fence 1 1",
        "restart 2",
        "write 1",
        "replicate 1 2",
        "ack 1",
        "void 2 2",
    )
    for label in trace:
        group.run_step(label)
    assert group.acked == {"second"}
    group.unreachable.add("u1")
    group.run_step("call 1")
    group.run_step("arrive 0 2")
    assert group.find_violations() == []
