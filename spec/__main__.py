"""`python -m spec`: checks the specification and writes its traces."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

from spec import model, removals
from spec.takeover import model as takeover_model
from spec.takeover import removals as takeover_removals

if TYPE_CHECKING:
    import types

    from spec import recorded


def main() -> int:
    """Prints what was checked; returns 1 if a property fails."""
    held = [_check(model, bounds) for bounds in removals.CHECKED]
    held += [
        _check(takeover_model, bounds) for bounds in takeover_removals.CHECKED
    ]
    for removal in (*removals.REMOVALS, *takeover_removals.REMOVALS):
        held.append(_take_out(removal))
    return int(not all(held))


def _check(checked: types.ModuleType, bounds: object) -> bool:
    started_at = time.monotonic()
    found = checked.check(bounds)
    holds = all(p["holds"] is True for p in found["properties"].values())
    print(
        f"{bounds}: {found['reachable_states']} states, holds={holds}, "
        f"{time.monotonic() - started_at:.1f} s",
        flush=True,
    )
    return holds and found["exhaustive"]


def _take_out(removal: recorded.Recorded) -> bool:
    """Writes the trace of a removal; returns whether there is one."""
    labels = removal.find()
    removal.path().parent.mkdir(parents=True, exist_ok=True)
    removal.path().write_text("\n".join(labels) + "\n")
    row = (removal.rules, removal.broken.value, str(len(labels)))
    print(f"| {' | '.join(row)} |", flush=True)
    return bool(labels)


if __name__ == "__main__":
    sys.exit(main())
