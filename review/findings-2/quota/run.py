"""Finding: nothing is served to accounts that have a quota."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from support2 import clients, hosts, scene
from support2 import record as records

# A new coordinator grants little before shares of a former one have ended.
CALM_S = 12.0
WRITES = 20
INTERVAL_S = 0.2
ACCOUNT = {"name": "account-a", "api_keys": [clients.KEY]}
QUOTA = {"rate_per_s": 50.0, "burst": 50.0}


async def play(record: records.Record) -> tuple[int, str]:
    """Writes at each host, far below the quota; returns the outcome."""
    account = ACCOUNT | (QUOTA if scene.is_disturbed() else {})
    served = 0
    async with scene.running(record, accounts=[account]) as played:
        if not await hosts.wait_until_ready(played.hosts):
            return scene.NOT_RUN, "the hosts did not become ready"
        await asyncio.sleep(CALM_S)
        for host in played.hosts:
            async with clients.session(
                host, scene.PRIMARY_ROUTE, record
            ) as session:
                for number in range(WRITES):
                    lines = await session.run(f"WRITE item {number}")
                    served += lines[0].startswith("COMPLETE")
                    await asyncio.sleep(INTERVAL_S)
    text = f"{served} of {2 * WRITES} writes served"
    return (scene.PASSED if served else scene.BROKEN), text


if __name__ == "__main__":
    scene.run_case("finding quota", __file__, play)
