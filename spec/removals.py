"""What breaks with each rule taken out, and the traces that show it."""

from __future__ import annotations

import dataclasses
import pathlib

from spec import model, rules
from spec.rules import Property, Rule
from spec.steps import Bounds

TRACES = pathlib.Path(__file__).parent / "traces"
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
class Removal:
    """Rules taken out together, and the property that breaks within bounds."""

    out: tuple[Rule, ...]
    bounds: Bounds
    broken: Property

    @property
    def name(self) -> str:
        """The name of the trace's file."""
        return "_and_".join(rule.name for rule in self.out).lower()

    def find(self) -> list[str]:
        """Returns the labels of the shortest counterexample, [] for none."""
        found = model.check(self.bounds, rules.ALL - frozenset(self.out))
        result = found["properties"][self.broken.name]
        steps = result.get("counterexample") or []
        return [step["label"] for step in steps if step["label"]]

    def path(self) -> pathlib.Path:
        """Returns where the trace is kept."""
        return TRACES / f"{self.name}.txt"

    def read(self) -> list[str]:
        """Returns the labels of the trace on file."""
        return self.path().read_text().splitlines()


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
