"""`python -m spec`: checks the specification and writes its traces."""

from __future__ import annotations

import sys
import time

from spec import model, removals


def main() -> int:
    """Prints what was checked; returns 1 if a property fails."""
    failed = False
    for bounds in removals.CHECKED:
        started_at = time.monotonic()
        found = model.check(bounds)
        holds = all(p["holds"] is True for p in found["properties"].values())
        failed = failed or not (holds and found["exhaustive"])
        print(
            f"{bounds}: {found['reachable_states']} states, holds={holds}, "
            f"{time.monotonic() - started_at:.1f} s",
            flush=True,
        )
    removals.TRACES.mkdir(exist_ok=True)
    for removal in removals.REMOVALS:
        labels = removal.find()
        failed = failed or not labels
        removal.path().write_text("\n".join(labels) + "\n")
        names = ", ".join(rule.value for rule in removal.out)
        print(f"| {names} | {removal.broken.value} | {len(labels)} |")
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
