"""Review case 2: a fenced replica restarts while another one is promoted."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
import sys
import tempfile

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support import (  # noqa: E402
    hosts,
    links,
    platform,
    promotion_service,
    scenario,
    sessions,
)

HOST_COUNT = 5
# Hosts that lose the primary: 0.6 of them.
CUT_COUNT = 3
CUT_S = 7.0
CLIENTS_PER_HOST = 16
MAX_PAUSE_S = 2.4
# When the replica crashes after the call that promotes the other one, and for
# how long it is down.
CRASH_AFTER_S = 0.1
DOWN_S = 0.2


class Ledger:
    """What clients were told of their transactions.

    Attributes:
      acknowledged: the values of the commits that succeeded.
    """

    def __init__(self, record: scenario.Record) -> None:
        self.acknowledged: list[str] = []
        self._record = record

    def add(self, value: str, host: str, answer: list[str]) -> None:
        """Records the answer to the commit of `value`."""
        self._record.line(f"{host}: COMMIT of {value} -> {' | '.join(answer)}")
        if answer[-2].startswith("COMPLETE"):
            self.acknowledged.append(value)


async def play(record: scenario.Record) -> int:
    """Plays the scenario once and returns the exit code."""
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        world, store = await stack.enter_async_context(platform.running())
        path = await stack.enter_async_context(
            links.Link(world.addresses["u-a"]).serving()
        )
        world.shown_addresses["u-a"] = path.address
        service = await stack.enter_async_context(
            promotion_service.PromotionService(world.promote).serving()
        )
        fleet = [hosts.Host(f"edge-{number}") for number in range(HOST_COUNT)]
        for host in fleet:
            stack.enter_context(
                hosts.running(host, folder, store, service.address)
            )
        await scenario.wait_ready(fleet)
        await scenario.wait_until(
            "a holder", world.duty_holder, scenario.START_TIMEOUT_S
        )
        ledger = Ledger(record)
        clients = [
            asyncio.create_task(transact(host, ledger, f"{host.name}.{number}"))
            for host in fleet
            for number in range(CLIENTS_PER_HOST)
        ]
        try:
            return await fail_over(record, world, service, fleet, path, ledger)
        finally:
            for client in clients:
                client.cancel()
            await asyncio.gather(*clients, return_exceptions=True)


async def transact(host: hosts.Host, ledger: Ledger, name: str) -> None:
    """Runs transactions of two writes with pauses between them, until ended."""
    rng = random.Random(name)
    number = 0
    while True:
        with contextlib.suppress(OSError, TimeoutError):
            async with sessions.opened(host.front, "card-renew") as session:
                while True:
                    number += 1
                    value = f"{name}.{number}"
                    for text in ("BEGIN", f"WRITE k {value}"):
                        answer = await session.run(text)
                    await asyncio.sleep(rng.uniform(0.2, MAX_PAUSE_S))
                    if not answer[-2].startswith("COMPLETE"):
                        await session.run("ROLLBACK")
                        continue
                    ledger.add(value, host.name, await session.run("COMMIT"))
        await asyncio.sleep(0.1)


async def fail_over(
    record: scenario.Record,
    world: platform.Platform,
    service: promotion_service.PromotionService,
    fleet: list[hosts.Host],
    path: links.Link,
    ledger: Ledger,
) -> int:
    """Cuts the primary off from most hosts and restarts one replica."""
    await asyncio.sleep(4.0)
    if not scenario.TROUBLE:
        await asyncio.sleep(CUT_S)
        return judge(record, world, ledger)
    holder = world.duty_holder()
    fleet = sorted(fleet, key=lambda host: host.name != holder)
    lost, others = fleet[:CUT_COUNT], fleet[CUT_COUNT:]
    path.cut(frozenset(host.popen.pid for host in lost))
    record.line(
        f"cut: the primary u-a from {', '.join(host.name for host in lost)}, "
        f"not from {', '.join(host.name for host in others)}; "
        f"{holder} has the duty"
    )
    asyncio.get_running_loop().call_later(CUT_S, path.heal)
    await scenario.wait_until("the promotion", lambda: service.calls, 10.0)
    target = service.calls[0].upstream
    record.line(f"the promotion of {target} is called")
    replica = next(
        name for name in world.members if name not in ("u-a", target)
    )
    await asyncio.sleep(CRASH_AFTER_S)
    world.crash(replica)
    record.line(f"crash: the replica {replica}")
    await asyncio.sleep(DOWN_S)
    world.restart(replica)
    record.line(f"the replica {replica} runs again")
    await scenario.wait_until(
        "the new primary", lambda: world.members[target].is_primary, 5.0
    )
    record.line(f"{target} leads")
    await asyncio.sleep(CUT_S)
    return judge(record, world, ledger)


def judge(
    record: scenario.Record, world: platform.Platform, ledger: Ledger
) -> int:
    """Checks that the primary has each acknowledged commit."""
    primary = world.replica_set.primary()
    kept = {entry.tag for entry in primary.log}
    lost = [value for value in ledger.acknowledged if value not in kept]
    for value in lost:
        record.line(f"acknowledged, not in the log of {primary.name}: {value}")
    record.line(
        f"{len(ledger.acknowledged)} commits acknowledged, {len(lost)} of them "
        f"lost; rule LOST {'broken' if lost else 'held'}"
    )
    if not ledger.acknowledged:
        raise scenario.CouldNotRunError("no commit was acknowledged")
    return scenario.BROKEN if lost else scenario.HELD


if __name__ == "__main__":
    sys.exit(scenario.run(FOLDER, play))
