"""Tests that idle links between proxies are closed."""

import asyncio
import contextlib

from fescueshunt.core import filters, identity, items, membership
from fescueshunt_proxy._internal import peers, runtime

WAIT_S = 5.0
IDLE_S = 0.2


class Requester(filters.Filter):
    """Sends a `TableRequest` at each tick; records all other items."""

    def __init__(self, address: str) -> None:
        self.items: list[filters.Item] = []
        self._address = address

    def process(self, item):
        if isinstance(item, filters.Tick):
            message = membership.TableRequest()
            yield items.SendPeer(item.at, "other", message, self._address)
        else:
            self.items.append(item)


@contextlib.asynccontextmanager
async def peer_connections(name: str, address: str = ""):
    """Yields peer connections, their bound address, runtime and filter."""
    requester = Requester(address)
    accepts = (filters.Tick, items.PeerReceived, items.PeerLost)
    core_runtime = runtime.Runtime(
        filters.Core((filters.Pipe((requester,), accepts),))
    )
    me = identity.Identity(name, "zone", "127.0.0.1:1")
    async with asyncio.TaskGroup() as tasks:
        connections = peers.PeerConnections(core_runtime, me, tasks, None)
        async with connections.serving("127.0.0.1:0") as bound_address:
            yield connections, bound_address, core_runtime, requester
        for conn in connections._outgoing.values():
            conn.task.cancel()


async def wait_until(condition) -> None:
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


def test_idle_link_closes_without_loss_and_reopens(monkeypatch):
    monkeypatch.setattr(peers, "LINK_IDLE_TIMEOUT_S", IDLE_S)

    async def run() -> None:
        async with (
            peer_connections("other") as (_, bound_address, _, receiver),
            peer_connections("one", bound_address) as (
                connections,
                _,
                core_runtime,
                requester,
            ),
        ):
            for count in (1, 2):
                core_runtime.feed(filters.Tick(core_runtime.now(), 0.0))
                await wait_until(
                    lambda count=count: len(receiver.items) == count
                )
                assert connections._outgoing
                await wait_until(lambda: not connections._outgoing)
            await asyncio.sleep(IDLE_S)
            assert requester.items == []
            assert all(
                isinstance(i, items.PeerReceived) for i in receiver.items
            )

    asyncio.run(run())
