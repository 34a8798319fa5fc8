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
OTHER_PROMOTIONS = Bounds(attempts=2, writes=(), elsewhere=True)
LATE_CALLS = Bounds(attempts=2, late_calls=2)
LATE_CALLS_BEFORE_WRITES = Bounds(attempts=2, late_calls=2, writes=(1,))
LATE_CALLS_BY_STATUS = Bounds(attempts=2, late_calls=2, by_status=True)

CHECKED = (
    ONE_ATTEMPT_WITH_RESTART,
    ONE_ATTEMPT_AFTER_A_DROP,
    TWO_ATTEMPTS,
    OTHER_PROMOTIONS,
    LATE_CALLS_BY_STATUS,
)
# The rules about calls that take effect late.
LATE_CALL_RULES = (
    Rule.CALL_RECORDED,
    Rule.ONE_TARGET,
    Rule.RELY_LATE,
    Rule.NO_UNDO,
    Rule.FORMER_CALLS,
    Rule.PAUSE_OLD,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Removal(rule_removal.RuleRemoval):
    """Rules removed together, and the property that fails within `bounds`.

    Attributes:
      removed_rules: the removed rules.
      bounds: the limits of the model in which the property fails.
      violated: the property that fails.
      title: the file name of the trace, "" for the name of the rule.
    """

    folder = rule_removal.TRACES_FOLDER / "takeover"

    removed_rules: tuple[Rule, ...]
    bounds: Bounds
    violated: Property
    title: str = ""

    @property
    def name(self) -> str:
        """The file name of the trace, without its extension."""
        names = "_and_".join(rule.name for rule in self.removed_rules)
        return self.title or names.lower()

    @property
    def rules(self) -> str:
        """The removed rules, as text."""
        return ", ".join(rule.value for rule in self.removed_rules)

    def check(self) -> dict[str, Any]:
        """Returns the result of the checker without the rules.

        The search ends with the first violation.
        """
        active_rules = rules.ALL - frozenset(self.removed_rules)
        return model.check(self.bounds, active_rules, self.violated)


REMOVALS = (
    Removal((Rule.WHOLE_FENCE,), ONE_ATTEMPT, Property.KEPT),
    Removal((Rule.SILENT_COUNTS,), ONE_ATTEMPT_AFTER_A_DROP, Property.KEPT),
    Removal((Rule.NEWEST,), ONE_ATTEMPT, Property.KEPT),
    Removal((Rule.FENCE_HOLDS,), ONE_ATTEMPT_WITH_RESTART, Property.KEPT),
    Removal((Rule.DUTY_CHECK,), OTHER_PROMOTIONS, Property.TOKENS),
    Removal((Rule.ACKNOWLEDGED,), ONE_ATTEMPT, Property.FRESH),
    Removal((Rule.CONFIRM_WAIT,), ONE_ATTEMPT, Property.FRESH),
    Removal((Rule.CONFIRM_TWO,), ONE_ATTEMPT, Property.FRESH),
    Removal(
        LATE_CALL_RULES,
        LATE_CALLS_BEFORE_WRITES,
        Property.KEPT,
        "late_promotion",
    ),
    Removal(
        LATE_CALL_RULES,
        LATE_CALLS_BEFORE_WRITES,
        Property.TOKENS,
        "late_token",
    ),
    Removal((Rule.CALL_RECORDED,), LATE_CALLS, Property.KEPT),
    Removal((Rule.ONE_TARGET,), LATE_CALLS, Property.KEPT),
    Removal((Rule.RELY_LATE,), LATE_CALLS_BEFORE_WRITES, Property.KEPT),
    Removal((Rule.NO_UNDO,), LATE_CALLS, Property.KEPT),
    Removal((Rule.FORMER_CALLS,), LATE_CALLS_BEFORE_WRITES, Property.TOKENS),
    Removal(
        (Rule.PAUSE_OLD,),
        dataclasses.replace(LATE_CALLS_BEFORE_WRITES, by_status=True),
        Property.KEPT,
    ),
)
