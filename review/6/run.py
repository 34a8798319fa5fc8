"""Case 6: a lost replica is forgotten once its address is used again."""

from __future__ import annotations

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from support2 import lost_commits, scene
from support2 import record as records

CALM_S = 3.0
DEAF_FOR_S = 6.5
# When, after a replica has begun to receive nothing.
REPLICA_LOST_S = 0.3
ADDRESS_USED_S = 2.4


async def disturb(played: scene.Scene) -> None:
    """Disturbs the two replicas of a service; its primary runs on.

    One replica receives nothing for a while. The other one, which has all that
    was acknowledged, is lost for good. Two seconds later, a backend of another
    service starts at its address.
    """
    _, replica, deaf = played.services["db-a"].backends.values()
    clock = scene.Clock()
    deaf.is_deaf = True
    played.record.note("receives nothing", backend=deaf.name)
    await clock.wait_until(REPLICA_LOST_S)
    replica.crash()
    await clock.wait_until(ADDRESS_USED_S)
    added = played.services["db-b"].add("i-db-b-s", replica.host)
    added.port = replica.port
    await added.start()
    await clock.wait_until(DEAF_FOR_S)
    deaf.is_deaf = False


async def play(record: records.Record) -> tuple[int, str]:
    """Plays the case; returns its outcome and a text about it."""
    return await lost_commits.play(
        record, disturb, CALM_S, DEAF_FOR_S, ("db-a", "db-b")
    )


if __name__ == "__main__":
    scene.run_case("case 6", __file__, play)
