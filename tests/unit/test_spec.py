"""Tests that the specifications hold and that the code conforms to them.

Each rule must be necessary: removing it has to violate its property.
"""

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


@pytest.mark.parametrize(("specification", "bounds"), CHECKED, ids=str)
def test_every_property_holds_in_every_state(specification, bounds):
    result = specification.check(bounds)
    assert result["exhaustive"]
    violated = [n for n, p in result["properties"].items() if not p["holds"]]
    assert violated == []


@pytest.mark.parametrize("removal", REMOVALS, ids=lambda r: r.name)
def test_removing_a_rule_violates_its_property(removal):
    assert removal.find_counterexample() == removal.read_trace()


@pytest.mark.parametrize("removal", removals.REMOVALS, ids=lambda r: r.name)
def test_the_code_withstands_the_counterexample(removal):
    labels = removal.read_trace()
    group = spec_replayer.ReplayedGroup(removal.bounds, labels)
    for label in labels:
        group.replay_step(label)
        assert group.violations() == []
    assert any(attempt.fake_upstream for attempt in group.attempts)
