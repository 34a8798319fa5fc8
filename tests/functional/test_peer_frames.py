"""Tests of peer connections with a fake proxy that sends raw frames."""

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

IDENTITY = identity.Identity("proxy-1", "zone-a", "127.0.0.1:1")
HELLO = codec.Envelope(0, upstream.Hello("proxy-2", "zone-b"))
ANSWER = codec.Envelope(0, peer.ForwardedAnswer(1, request.Answer(bytes(16))))
WAIT_S = 5.0


class Recorder(filters.Filter):
    """Records all items; forwards each caller's request to `proxy-2`."""

    def __init__(self) -> None:
        self.items: list[filters.Item] = []

    def process(self, item):
        self.items.append(item)
        if isinstance(item, items.CallerRequest):
            message = peer.ForwardedRequest(1, "u", item.req, 1.0)
            yield items.SendPeer(item.at, "proxy-2", message)


@contextlib.asynccontextmanager
async def serving():
    recorder = Recorder()
    accepts = (items.PeerReceived, items.PeerLost, items.CallerRequest)
    core_runtime = runtime.Runtime(
        filters.Core((filters.Pipe((recorder,), accepts), _fleet_view_pipe()))
    )
    async with asyncio.TaskGroup() as tasks:
        connections = peers.PeerConnections(core_runtime, IDENTITY, tasks, None)
        async with connections.serving("127.0.0.1:0") as address:
            yield address, core_runtime, recorder
        for conn in connections._outgoing.values():
            conn.task.cancel()


def _fleet_view_pipe() -> filters.Pipe:
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


async def wait_until(condition) -> None:
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
def test_out_of_order_message_closes_connection(sent, error):
    async def run():
        async with (
            serving() as (address, _, _recorder),
            client.connect(f"ws://{address}/", compression=None) as fake_proxy,
        ):
            await fake_proxy.send(codec.encode(sent))
            (received,) = codec.decode(await fake_proxy.recv())
            await fake_proxy.wait_closed()
            return received.message

    received = asyncio.run(run())
    assert isinstance(received, failure.Failure)
    assert isinstance(received.error, error)


def test_end_of_incoming_connection_reports_lost_peer():
    async def run():
        async with serving() as (address, _, recorder):
            async with client.connect(f"ws://{address}/") as fake_proxy:
                await fake_proxy.send(codec.encode((HELLO, ANSWER)))
                await wait_until(lambda: recorder.items)
            await wait_until(lambda: len(recorder.items) > 1)
            return recorder.items

    first, second = asyncio.run(run())
    assert first.message == ANSWER.message
    assert second.name == "proxy-2"
    assert isinstance(second, items.PeerLost)


def test_message_waits_until_address_of_proxy_is_known():
    async def run():
        async with (
            serving() as (address, core_runtime, recorder),
            serving() as (other_address, _, other_recorder),
        ):
            assert address != other_address
            req = request.Request(bytes(16), "s", "d", request.Kind.READ)
            core_runtime.feed(items.CallerRequest(0.0, 0.0, 1, 1, req))
            await asyncio.sleep(0.3)
            assert not other_recorder.items
            host = items.Host("proxy-2", "zone-b", other_address)
            core_runtime.feed(items.HostsRead(0.0, (host,)))
            await wait_until(lambda: other_recorder.items)
            return list(recorder.items), other_recorder.items

    recorded, other_recorded = asyncio.run(run())
    assert not [i for i in recorded if isinstance(i, items.PeerLost)]
    assert other_recorded[0].message.request.request_id == bytes(16)
