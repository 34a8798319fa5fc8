"""Case 8: a replica that joins during an attempt isn't fenced."""

from __future__ import annotations

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from support2 import lost_commits, scene
from support2 import record as records

CALM_S = 3.0
HOSTS = 5
# From so many of them the primary is partitioned.
PARTITIONED_HOSTS = 3
# When, after that.
HOST_CUT_S = 0.9
REPLICA_JOINS_S = 1.45
REPLICA_LEAVES_S = 2.5
HOST_BACK_S = 4.9
PRIMARY_BACK_S = 5.0


async def disturb(played: scene.Scene) -> None:
    """Partitions the primary from some hosts, and another one from the store.

    The holder of the duty, which has written to the store under a condition, is
    one of those that the primary is partitioned from. A replica is to be
    replaced: the new one starts first, and the old one drains.
    """
    service = played.services["db-a"]
    replica = service.backends["i-db-a-r"]
    by_writes = sorted(
        range(HOSTS), key=lambda n: -played.doors[n].conditional_writes
    )
    partitioned, (cut, *_) = (
        by_writes[:PARTITIONED_HOSTS],
        by_writes[PARTITIONED_HOSTS:],
    )
    clock = scene.Clock()
    for number in partitioned:
        played.gates[number].is_cut = True
        played.record.note("partitioned from the primary", host=number + 1)
    await clock.wait_until(HOST_CUT_S)
    played.doors[cut].is_cut = True
    played.record.note("partitioned from the store", host=cut + 1)
    await clock.wait_until(REPLICA_JOINS_S)
    await service.add("i-db-a-s", replica.host).start()
    await clock.wait_until(REPLICA_LEAVES_S)
    replica.is_draining = True
    await clock.wait_until(HOST_BACK_S)
    played.doors[cut].is_cut = False
    await clock.wait_until(PRIMARY_BACK_S)
    for gate in played.gates:
        gate.is_cut = False


async def play(record: records.Record) -> tuple[int, str]:
    """Plays the case; returns its outcome and a text about it."""
    return await lost_commits.play(
        record, disturb, CALM_S, PRIMARY_BACK_S, host_count=HOSTS
    )


if __name__ == "__main__":
    scene.run_case("case 8", __file__, play)
