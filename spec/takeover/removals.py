"""What breaks with each rule taken out, and the traces that show it."""

from __future__ import annotations

import dataclasses
from typing import Any

from spec import rule_removal
from spec.takeover import model, rules
from spec.takeover.rules import Property, Rule
from spec.takeover.steps import Bounds

ONE = Bounds(attempts=1)
RESTARTED = Bounds(attempts=1, restarts=1)
TWO = Bounds(attempts=2)
ELSEWHERE = Bounds(attempts=2, writes=False, elsewhere=True)

CHECKED = (RESTARTED, TWO, ELSEWHERE)


@dataclasses.dataclass(frozen=True, slots=True)
class Removal(rule_removal.RuleRemoval):
    """A rule taken out, and the property that breaks within bounds."""

    folder = rule_removal.TRACES_FOLDER / "takeover"

    out: Rule
    bounds: Bounds
    violated: Property

    @property
    def name(self) -> str:
        """The name of the trace's file."""
        return self.out.name.lower()

    @property
    def rules(self) -> str:
        """The rule in words."""
        return self.out.value

    def check(self) -> dict[str, Any]:
        """Returns what the checker finds without the rule."""
        return model.check(self.bounds, rules.ALL - {self.out})


REMOVALS = (
    Removal(Rule.WHOLE_FENCE, ONE, Property.KEPT),
    Removal(Rule.NEWEST, ONE, Property.KEPT),
    Removal(Rule.FENCE_HOLDS, RESTARTED, Property.KEPT),
    Removal(Rule.DUTY_CHECK, ELSEWHERE, Property.TOKENS),
    Removal(Rule.ACKNOWLEDGED, ONE, Property.FRESH),
    Removal(Rule.CONFIRM_WAIT, ONE, Property.FRESH),
    Removal(Rule.CONFIRM_TWO, ONE, Property.FRESH),
)
