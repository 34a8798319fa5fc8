"""What breaks with each rule taken out, and the traces that show it."""

from __future__ import annotations

import dataclasses
from typing import Any

from spec import model, recorded, rules
from spec.rules import Property, Rule
from spec.steps import Bounds

ONE_BALLOT = Bounds(ballots=1, writes=1)
TWO_BALLOTS = Bounds(ballots=2, writes=1)
SUPPORTED = Bounds(ballots=1, writes=1, majority=False)
SETTLED = Bounds(ballots=1, writes=1, settles=1)
REPEATED = Bounds(ballots=1, writes=2)
TAIL = Bounds(ballots=1, writes=1, tail=2)
TWO_BALLOTS_TAIL = Bounds(ballots=2, writes=1, tail=2)

CHECKED = (
    TWO_BALLOTS,
    TWO_BALLOTS_TAIL,
    Bounds(ballots=2, writes=1, majority=False),
    Bounds(ballots=1, writes=2, settles=1),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Removal(recorded.Recorded):
    """Rules taken out together, and the property that breaks within bounds."""

    out: tuple[Rule, ...]
    bounds: Bounds
    broken: Property

    @property
    def name(self) -> str:
        """The name of the trace's file."""
        return "_and_".join(rule.name for rule in self.out).lower()

    @property
    def rules(self) -> str:
        """The rules in words."""
        return ", ".join(rule.value for rule in self.out)

    def check(self) -> dict[str, Any]:
        """Returns what the checker finds without the rules."""
        return model.check(self.bounds, rules.ALL - frozenset(self.out))


REMOVALS = (
    Removal((Rule.PROMISE_RISES,), TWO_BALLOTS, Property.KEPT),
    Removal((Rule.QUORUM,), ONE_BALLOT, Property.KEPT),
    Removal((Rule.NEWEST_TERM,), TWO_BALLOTS_TAIL, Property.KEPT),
    Removal((Rule.NEWEST_INDEX,), TWO_BALLOTS, Property.KEPT),
    Removal((Rule.EXACT_PROMISE,), TWO_BALLOTS, Property.KEPT),
    Removal((Rule.FENCED_COMMITS,), ONE_BALLOT, Property.CURRENT),
    Removal((Rule.FOLLOW_RISES,), TWO_BALLOTS, Property.KEPT),
    Removal((Rule.TAIL_CUT,), REPEATED, Property.ONCE),
    Removal((Rule.MAJORITY_HOLDS,), ONE_BALLOT, Property.KEPT),
    Removal((Rule.HOLDER_PROMISE,), SETTLED, Property.CURRENT),
    Removal(
        (Rule.HOLDER_PROMISE, Rule.FENCED_REPLICATES),
        ONE_BALLOT,
        Property.KEPT,
    ),
    Removal((Rule.SUPPORT_AFTER,), SUPPORTED, Property.CURRENT),
    Removal((Rule.TOKEN_TERM,), TAIL, Property.FRESH),
    Removal((Rule.LEDGER,), REPEATED, Property.ONCE),
    Removal((Rule.TOMBSTONE,), SETTLED, Property.NOT_RUN),
    Removal((Rule.TOMBSTONE_HELD,), SETTLED, Property.NOT_RUN),
    Removal((Rule.REPEAT_HELD,), REPEATED, Property.KEPT),
)
