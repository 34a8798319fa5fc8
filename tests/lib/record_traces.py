"""Records new versions of the traces in tests/data/traces.

Run as `python tests/lib/record_traces.py`, then review the changes.
"""

from __future__ import annotations

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import replayer, scenarios


def main() -> None:
    """Runs each scenario and writes the items fed to one of its proxies."""
    replayer.TRACES.mkdir(parents=True, exist_ok=True)
    for name, scenario in scenarios.ALL.items():
        cluster, proxy = scenario()
        cluster.write_trace(proxy, replayer.TRACES / f"{name}.jsonl")


if __name__ == "__main__":
    main()
