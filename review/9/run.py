"""Case 9: a host that has just started takes all replicas to be known."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from support2 import backends, lost_commits, scene
from support2 import record as records

CALM_S = 3.0
DEAF_FOR_S = 6.5
# A replica is lost so long after its last heartbeat.
SILENT_S = 1.1
# When, after the other replica has begun to receive nothing.
MIN_REPLICA_LOST_S = 0.3
HOSTS_DOWN_S = 0.3


async def disturb(played: scene.Scene) -> None:
    """Disturbs both replicas of a service, and restarts all hosts.

    One replica receives nothing for a while. The other one, which has all that
    was acknowledged, is lost for good. Once its entry is gone, the processes of
    all hosts are killed at the same moment, and started again.
    """
    _, replica, deaf = played.services["db-a"].backends.values()
    while time.monotonic() - replica.beat_at < SILENT_S - MIN_REPLICA_LOST_S:
        await asyncio.sleep(0.01)
    clock = scene.Clock()
    deaf.is_deaf = True
    played.record.note("receives nothing", backend=deaf.name)
    await clock.wait_until(MIN_REPLICA_LOST_S)
    replica.crash()
    await clock.wait_until(
        MIN_REPLICA_LOST_S + backends.ENTRY_TTL_S - SILENT_S + 0.4
    )
    for host in played.hosts:
        host.popen.send_signal(signal.SIGKILL)
    played.record.note("all hosts killed")
    for host in played.hosts:
        host.popen.wait()
    await asyncio.sleep(HOSTS_DOWN_S)
    for host in played.hosts:
        host.restart()
    played.record.note("all hosts started")
    await clock.wait_until(DEAF_FOR_S)
    deaf.is_deaf = False


async def play(record: records.Record) -> tuple[int, str]:
    """Plays the case; returns its outcome and a text about it."""
    return await lost_commits.play(record, disturb, CALM_S, DEAF_FOR_S)


if __name__ == "__main__":
    scene.run_case("case 9", __file__, play)
