"""Records the traces in tests/data/traces anew from the world.

Run as `python tests/lib/record_traces.py`; then look at what changed.
"""

from __future__ import annotations

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import replayer, scenarios


def main() -> None:
    """Runs each scenario and writes what its proxy was fed."""
    replayer.TRACES.mkdir(parents=True, exist_ok=True)
    for name, scenario in scenarios.ALL.items():
        played, proxy = scenario()
        played.write_record(proxy, replayer.TRACES / f"{name}.jsonl")


if __name__ == "__main__":
    main()
