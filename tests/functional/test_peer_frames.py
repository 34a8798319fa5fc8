"""A fake proxy that speaks raw frames to the border between proxies."""

import asyncio
import contextlib

import pytest
from websockets.asyncio import client

from fescueshunt import errors
from fescueshunt.core import (
    filters,
    identity,
    items,
    peer,
    request,
    upstream,
    views,
)
from fescueshunt_proxy._internal import peers, runtime
from fescueshunt_wire import codec, failure

ME = identity.Identity("proxy-1", "zone-a", "127.0.0.1:1")
HELLO = codec.Envelope(0, upstream.Hello("proxy-2", "zone-b"))
ANSWER = codec.Envelope(0, peer.ForwardedAnswer(1, request.Answer(bytes(16))))
WAIT_S = 5.0


class Taken(filters.Filter):
    """Keeps what comes in; sends what it is told to."""

    def __init__(self) -> None:
        self.items: list[filters.Item] = []

    def process(self, item):
        self.items.append(item)
        if isinstance(item, items.CallerRequest):
            message = peer.ForwardedRequest(1, "u", item.req, 1.0)
            yield items.SendPeer(item.at, "proxy-2", message)


@contextlib.asynccontextmanager
async def serving():
    taken = Taken()
    accepts = (items.PeerReceived, items.PeerLost, items.CallerRequest)
    joined = runtime.Runtime(
        filters.Core((filters.Pipe((taken,), accepts), _views()))
    )
    async with asyncio.TaskGroup() as tasks:
        border = peers.Peers(joined, ME, tasks, None)
        async with border.serving("127.0.0.1:0") as address:
            yield address, joined, taken
        for sender in border._senders.values():
            sender.task.cancel()


def _views() -> filters.Pipe:
    class Publish(filters.Filter):
        def process(self, item):
            yield views.FleetView(
                item.at,
                tuple(
                    views.Member(h.name, h.zone, h.address, 1)
                    for h in item.hosts
                ),
            )

    return filters.Pipe((Publish(),), (items.HostsRead,))


async def until(condition) -> None:
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    ("sent", "error"),
    [
        ((ANSWER,), errors.FrameOrderError),
        ((HELLO, HELLO), errors.FrameOrderError),
        (
            (
                HELLO,
                codec.Envelope(1, request.Request(bytes(16), "s", "d", "read")),
            ),
            errors.FrameOrderError,
        ),
    ],
)
def test_out_of_order_message_ends_the_connection(sent, error):
    async def run():
        async with (
            serving() as (address, _, _taken),
            client.connect(f"ws://{address}/", compression=None) as fake,
        ):
            await fake.send(codec.encode(sent))
            (told,) = codec.decode(await fake.recv())
            await fake.wait_closed()
            return told.message

    told = asyncio.run(run())
    assert isinstance(told, failure.Failure)
    assert isinstance(told.error, error)


def test_end_of_an_incoming_connection_is_a_lost_peer():
    async def run():
        async with serving() as (address, _, taken):
            async with client.connect(f"ws://{address}/") as fake:
                await fake.send(codec.encode((HELLO, ANSWER)))
                await until(lambda: taken.items)
            await until(lambda: len(taken.items) > 1)
            return taken.items

    first, second = asyncio.run(run())
    assert first.message == ANSWER.message
    assert second.name == "proxy-2"
    assert isinstance(second, items.PeerLost)


def test_message_waits_for_the_address_of_a_proxy_not_known_yet():
    async def run():
        async with (
            serving() as (address, joined, taken),
            serving() as (other, _, received),
        ):
            assert address != other
            req = request.Request(bytes(16), "s", "d", request.Kind.READ)
            joined.feed(items.CallerRequest(0.0, 0.0, 1, 1, req))
            await asyncio.sleep(0.3)
            assert not received.items
            host = items.Host("proxy-2", "zone-b", other)
            joined.feed(items.HostsRead(0.0, (host,)))
            await until(lambda: received.items)
            return list(taken.items), received.items

    taken, received = asyncio.run(run())
    assert not [i for i in taken if isinstance(i, items.PeerLost)]
    assert received[0].message.request.request_id == bytes(16)
