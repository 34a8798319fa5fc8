"""Links between proxies that have nothing to send are closed."""

import asyncio
import contextlib

from fescueshunt.core import filters, identity, items, membership
from fescueshunt_proxy._internal import peers, runtime

WAIT_S = 5.0
IDLE_S = 0.2


class Talk(filters.Filter):
    """Sends an empty request at each tick; keeps what else comes in."""

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
async def border(name: str, address: str = ""):
    """Yields a border, where it listens, its runtime and its filter."""
    talk = Talk(address)
    accepts = (filters.Tick, items.PeerReceived, items.PeerLost)
    joined = runtime.Runtime(filters.Core((filters.Pipe((talk,), accepts),)))
    me = identity.Identity(name, "zone", "127.0.0.1:1")
    async with asyncio.TaskGroup() as tasks:
        made = peers.Peers(joined, me, tasks, None)
        async with made.serving("127.0.0.1:0") as bound:
            yield made, bound, joined, talk
        for sender in made._senders.values():
            sender.task.cancel()


async def until(condition) -> None:
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


def test_an_idle_link_closes_without_a_loss_and_opens_again(monkeypatch):
    monkeypatch.setattr(peers, "LINK_IDLE_S", IDLE_S)

    async def run() -> None:
        async with (
            border("other") as (_, bound, _, heard),
            border("one", bound) as (sending, _, joined, said),
        ):
            for count in (1, 2):
                joined.feed(filters.Tick(joined.now(), 0.0))
                await until(lambda count=count: len(heard.items) == count)
                assert sending._senders
                await until(lambda: not sending._senders)
            await asyncio.sleep(IDLE_S)
            assert said.items == []
            assert all(isinstance(i, items.PeerReceived) for i in heard.items)

    asyncio.run(run())
