"""The rule removals to check, and the property that each one violates."""

from __future__ import annotations

import dataclasses
from typing import Any

from spec import model, rule_removal, rules
from spec.rules import Property, Rule
from spec.steps import Bounds

ONE_BALLOT = Bounds(ballots=1, writes=1)
TWO_BALLOTS = Bounds(ballots=2, writes=1)
SUPPORT_ONLY = Bounds(ballots=1, writes=1, wait_for_majority=False)
WITH_OUTCOME_QUERY = Bounds(ballots=1, writes=1, outcome_queries=1)
REPEATED_WRITE = Bounds(ballots=1, writes=2)
WITH_TAIL = Bounds(ballots=1, writes=1, tail=2)
TWO_BALLOTS_WITH_TAIL = Bounds(ballots=2, writes=1, tail=2)

CHECKED = (
    TWO_BALLOTS,
    TWO_BALLOTS_WITH_TAIL,
    Bounds(ballots=2, writes=1, wait_for_majority=False),
    Bounds(ballots=1, writes=2, outcome_queries=1),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Removal(rule_removal.RuleRemoval):
    """Rules removed together, and the property then violated in `bounds`."""

    removed_rules: tuple[Rule, ...]
    bounds: Bounds
    violated: Property

    @property
    def name(self) -> str:
        """The file name of the trace, without its extension."""
        return "_and_".join(rule.name for rule in self.removed_rules).lower()

    @property
    def rules(self) -> str:
        """The removed rules, as text."""
        return ", ".join(rule.value for rule in self.removed_rules)

    def check(self) -> dict[str, Any]:
        """Returns the model checker's result without the rules."""
        return model.check(
            self.bounds, rules.ALL - frozenset(self.removed_rules)
        )


REMOVALS = (
    Removal((Rule.PROMISE_RISES,), TWO_BALLOTS, Property.DURABLE),
    Removal((Rule.QUORUM,), ONE_BALLOT, Property.DURABLE),
    Removal((Rule.NEWEST_TERM,), TWO_BALLOTS_WITH_TAIL, Property.DURABLE),
    Removal((Rule.NEWEST_INDEX,), TWO_BALLOTS, Property.DURABLE),
    Removal((Rule.EXACT_PROMISE,), TWO_BALLOTS, Property.DURABLE),
    Removal((Rule.FENCED_COMMITS,), ONE_BALLOT, Property.CURRENT_PRIMARY),
    Removal((Rule.FOLLOW_RISES,), TWO_BALLOTS, Property.DURABLE),
    Removal((Rule.TAIL_CUT,), REPEATED_WRITE, Property.AT_MOST_ONCE),
    Removal((Rule.MAJORITY_HOLDS,), ONE_BALLOT, Property.DURABLE),
    Removal(
        (Rule.HOLDER_PROMISE,), WITH_OUTCOME_QUERY, Property.CURRENT_PRIMARY
    ),
    Removal(
        (Rule.HOLDER_PROMISE, Rule.FENCED_REPLICATES),
        ONE_BALLOT,
        Property.DURABLE,
    ),
    Removal((Rule.SUPPORT_AFTER,), SUPPORT_ONLY, Property.CURRENT_PRIMARY),
    Removal((Rule.TOKEN_TERM,), WITH_TAIL, Property.READ_YOUR_WRITES),
    Removal((Rule.LEDGER,), REPEATED_WRITE, Property.AT_MOST_ONCE),
    Removal((Rule.TOMBSTONE,), WITH_OUTCOME_QUERY, Property.NOT_RUN_FINAL),
    Removal((Rule.TOMBSTONE_HELD,), WITH_OUTCOME_QUERY, Property.NOT_RUN_FINAL),
    Removal((Rule.REPEAT_HELD,), REPEATED_WRITE, Property.DURABLE),
)
