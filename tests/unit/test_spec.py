"""The specifications hold, each rule is needed, real parts keep to them."""

import pytest
from spec import model, removals
from spec.takeover import model as takeover_model
from spec.takeover import removals as takeover_removals

from lib import spec_replayer

CHECKED = [
    *((model, bounds) for bounds in removals.CHECKED),
    *((takeover_model, bounds) for bounds in takeover_removals.CHECKED),
]
REMOVALS = [*removals.REMOVALS, *takeover_removals.REMOVALS]


@pytest.mark.parametrize(("checked", "bounds"), CHECKED, ids=str)
def test_every_property_holds_in_every_state(checked, bounds):
    found = checked.check(bounds)
    assert found["exhaustive"]
    broken = [n for n, p in found["properties"].items() if not p["holds"]]
    assert broken == []


@pytest.mark.parametrize("removal", REMOVALS, ids=lambda r: r.name)
def test_a_rule_taken_out_breaks_its_property(removal):
    assert removal.find() == removal.read()


@pytest.mark.parametrize("removal", removals.REMOVALS, ids=lambda r: r.name)
def test_the_real_decisions_withstand_the_counterexample(removal):
    labels = removal.read()
    group = spec_replayer.Group(removal.bounds, labels)
    for label in labels:
        group.play(label)
        assert group.faults() == []
    assert any(attempt.fake for attempt in group.attempts)
