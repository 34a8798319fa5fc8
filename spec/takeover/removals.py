"""Removals of single rules, each with the property that then fails."""

from __future__ import annotations

import dataclasses
from typing import Any

from spec import rule_removal
from spec.takeover import model, rules
from spec.takeover.rules import Property, Rule
from spec.takeover.steps import Bounds

ONE_ATTEMPT = Bounds(attempts=1)
ONE_ATTEMPT_AFTER_A_DROP = Bounds(attempts=1, drops=True)
ONE_ATTEMPT_WITH_RESTART = Bounds(attempts=1, restarts=1)
TWO_ATTEMPTS = Bounds(attempts=2)
OTHER_PROMOTIONS = Bounds(attempts=2, writes=False, elsewhere=True)

CHECKED = (
    ONE_ATTEMPT_WITH_RESTART,
    ONE_ATTEMPT_AFTER_A_DROP,
    TWO_ATTEMPTS,
    OTHER_PROMOTIONS,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Removal(rule_removal.RuleRemoval):
    """The removal of a rule, and the property that fails within `bounds`.

    Attributes:
      removed_rule: the removed rule.
      bounds: the limits of the model in which the property fails.
      violated: the property that fails.
    """

    folder = rule_removal.TRACES_FOLDER / "takeover"

    removed_rule: Rule
    bounds: Bounds
    violated: Property

    @property
    def name(self) -> str:
        """The file name of the trace, without its extension."""
        return self.removed_rule.name.lower()

    @property
    def rules(self) -> str:
        """The text of the removed rule."""
        return self.removed_rule.value

    def check(self) -> dict[str, Any]:
        """Returns the result of the checker without the rule."""
        return model.check(self.bounds, rules.ALL - {self.removed_rule})


REMOVALS = (
    Removal(Rule.WHOLE_FENCE, ONE_ATTEMPT, Property.KEPT),
    Removal(Rule.SILENT_COUNTS, ONE_ATTEMPT_AFTER_A_DROP, Property.KEPT),
    Removal(Rule.NEWEST, ONE_ATTEMPT, Property.KEPT),
    Removal(Rule.FENCE_HOLDS, ONE_ATTEMPT_WITH_RESTART, Property.KEPT),
    Removal(Rule.DUTY_CHECK, OTHER_PROMOTIONS, Property.TOKENS),
    Removal(Rule.ACKNOWLEDGED, ONE_ATTEMPT, Property.FRESH),
    Removal(Rule.CONFIRM_WAIT, ONE_ATTEMPT, Property.FRESH),
    Removal(Rule.CONFIRM_TWO, ONE_ATTEMPT, Property.FRESH),
)
