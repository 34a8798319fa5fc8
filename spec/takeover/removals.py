"""What breaks with each rule taken out, and the traces that show it."""

from __future__ import annotations

import dataclasses
import pathlib

from spec.takeover import model, rules
from spec.takeover.rules import Property, Rule
from spec.takeover.steps import Bounds

TRACES = pathlib.Path(__file__).parents[1] / "traces" / "takeover"
ONE = Bounds(attempts=1)
RESTARTED = Bounds(attempts=1, restarts=1)
TWO = Bounds(attempts=2)
ELSEWHERE = Bounds(attempts=2, writes=False, elsewhere=True)

CHECKED = (RESTARTED, TWO, ELSEWHERE)


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """A rule taken out, and the property that breaks within bounds."""

    out: Rule
    bounds: Bounds
    broken: Property

    @property
    def name(self) -> str:
        """The name of the trace's file."""
        return self.out.name.lower()

    def find(self) -> list[str]:
        """Returns the labels of the shortest counterexample, [] for none."""
        found = model.check(self.bounds, rules.ALL - {self.out})
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
    Removal(Rule.WHOLE_FENCE, ONE, Property.KEPT),
    Removal(Rule.NEWEST, ONE, Property.KEPT),
    Removal(Rule.FENCE_HOLDS, RESTARTED, Property.KEPT),
    Removal(Rule.DUTY_CHECK, ELSEWHERE, Property.TOKENS),
    Removal(Rule.ACKNOWLEDGED, ONE, Property.FRESH),
    Removal(Rule.CONFIRM_WAIT, ONE, Property.FRESH),
    Removal(Rule.CONFIRM_TWO, ONE, Property.FRESH),
)
