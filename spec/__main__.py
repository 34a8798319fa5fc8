"""`python -m spec`: checks the specifications and writes their traces."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

from spec import model, removals
from spec.takeover import model as takeover_model
from spec.takeover import removals as takeover_removals

if TYPE_CHECKING:
    import types

    from spec import rule_removal


def main() -> int:
    """Checks all properties and records all counterexamples.

    Prints a line for each check. Returns 1 if a property does not hold, or if
    removing a rule breaks no property; otherwise 0.
    """
    outcomes = [_check_bounds(model, bounds) for bounds in removals.CHECKED]
    outcomes += [
        _check_bounds(takeover_model, bounds)
        for bounds in takeover_removals.CHECKED
    ]
    for removal in (*removals.REMOVALS, *takeover_removals.REMOVALS):
        outcomes.append(_write_trace(removal))
    return int(not all(outcomes))


def _check_bounds(specification: types.ModuleType, bounds: object) -> bool:
    started_at = time.monotonic()
    result = specification.check(bounds)
    all_hold = all(p["holds"] is True for p in result["properties"].values())
    print(
        f"{bounds}: {result['reachable_states']} states, holds={all_hold}, "
        f"{time.monotonic() - started_at:.1f} s",
        flush=True,
    )
    return all_hold and result["exhaustive"]


def _write_trace(removal: rule_removal.RuleRemoval) -> bool:
    """Writes the trace of a removal; returns whether it has any steps."""
    labels = removal.find_counterexample()
    removal.trace_path().parent.mkdir(parents=True, exist_ok=True)
    removal.trace_path().write_text("\n".join(labels) + "\n")
    columns = (removal.rules, removal.violated.value, str(len(labels)))
    print(f"| {' | '.join(columns)} |", flush=True)
    return bool(labels)


if __name__ == "__main__":
    sys.exit(main())
