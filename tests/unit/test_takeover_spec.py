"""Replays counterexamples of the takeover specification on the real code."""

from __future__ import annotations

import pytest
from spec.takeover import removals

from fescueshunt.core import store_items
from fescueshunt.takeover import fence, promotion_check
from lib import takeover_replayer


@pytest.mark.parametrize("removal", removals.REMOVALS, ids=lambda r: r.name)
def test_production_code_withstands_the_counterexample(removal):
    group = takeover_replayer.Group(removal.bounds.attempts)
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
    group = takeover_replayer.Group(removal.bounds.attempts)
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


def test_without_the_duty_check_fencing_tokens_decrease(
    monkeypatch: pytest.MonkeyPatch,
):
    monkeypatch.setattr(
        promotion_check.PromotionCheck, "record_duty", lambda *_: True
    )
    monkeypatch.setattr(
        promotion_check.PromotionCheck, "is_duty_confirmed", lambda *_: True
    )
    assert _replay_violations("duty_check") == ["tokens went back: [2, 1]"]
