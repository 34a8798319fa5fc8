"""Frames that aren't ones, on a real listener; others notice nothing."""

import asyncio
import contextlib

import cbor2
import pytest
import websockets
from websockets.asyncio import client
from websockets.frames import Frame, Opcode

from fescueshunt import errors
from fescueshunt.core import filters, items, request
from fescueshunt_cli import caller
from fescueshunt_proxy._internal import callers, runtime
from fescueshunt_wire import codec, failure, transport

SHOW = request.Statement("SELECT 1")
REQ = request.Request(bytes(16), "s", "d", request.Kind.READ, (SHOW,))
LIMITS = transport.ListenerLimits(
    max_connections=3, first_frame_timeout_s=0.4, idle_timeout_s=0.8
)
WAIT_S = 5.0


class Echo(filters.Filter):
    """Answers every request with its own statement."""

    def process(self, item):
        (statement,) = item.req.statements
        result = request.ResultSet((statement.sql,))
        answer = request.Answer(item.req.request_id, (result,))
        yield items.AnswerCaller(item.at, item.conn, item.seq, answer)


@contextlib.asynccontextmanager
async def serving(stage: filters.Filter | None = None):
    pipe = filters.Pipe((stage or Echo(),), (items.CallerRequest,))
    joined = runtime.Runtime(filters.Core((pipe,)))
    border = callers.Callers(joined, LIMITS)
    async with border.serving("127.0.0.1:0") as address:
        yield address


async def ends_with(websocket) -> tuple[type, int]:
    """Returns the error that the other end tells, and its close code."""
    told = None
    with contextlib.suppress(websockets.ConnectionClosed):
        async with asyncio.timeout(WAIT_S):
            while True:
                (envelope,) = codec.decode(await websocket.recv())
                if isinstance(envelope.message, failure.Failure):
                    told = type(envelope.message.error)
    await websocket.wait_closed()
    return told, websocket.close_code


def frame(*messages: tuple[int, object]) -> bytes:
    return codec.encode(codec.Envelope(*message) for message in messages)


BAD_FRAMES = {
    "malformed": (b"\xff\x00", errors.FrameError),
    "truncated": (frame((1, REQ))[:-3], errors.FrameError),
    "trailing": (frame((1, REQ)) + b"\x00", errors.FrameError),
    "text": ("text", errors.FrameError),
    "version": (cbor2.dumps([9, []]), errors.FrameVersionError),
    "oversize": (bytes(codec.MAX_FRAME_BYTES + 1), errors.FrameTooLargeError),
    "no request": (
        frame((1, request.Answer(bytes(16)))),
        errors.FrameOrderError,
    ),
    "old seq": (frame((2, REQ), (2, REQ)), errors.FrameOrderError),
}


@pytest.mark.parametrize("name", BAD_FRAMES)
def test_bad_frame_ends_its_own_connection_only(name):
    data, expected = BAD_FRAMES[name]

    async def run():
        async with (
            serving() as address,
            caller.session(address) as session,
            client.connect(f"ws://{address}/", compression=None) as bad,
        ):
            before = await session.read("s", "d", SHOW)
            await bad.send(data)
            told = await ends_with(bad)
            after = await session.read("s", "d", SHOW)
            return before.error, told, after.error

    assert asyncio.run(run()) == (
        None,
        (expected, transport.PROTOCOL_ERROR),
        None,
    )


def test_frame_far_over_the_bound_closes_the_connection():
    async def run():
        async with (
            serving() as address,
            client.connect(f"ws://{address}/", compression=None) as bad,
        ):
            with contextlib.suppress(websockets.ConnectionClosed):
                await bad.send(bytes(transport.MAX_READ_BYTES + 1))
            return await ends_with(bad)

    assert asyncio.run(run()) == (None, 1009)


@pytest.mark.parametrize("fragment", [False, True])
def test_frame_that_never_comes_or_never_ends(fragment):
    async def run():
        async with (
            serving() as address,
            client.connect(f"ws://{address}/", compression=None) as bad,
        ):
            if fragment:
                half = Frame(Opcode.BINARY, b"\x82", fin=False)
                bad.transport.write(half.serialize(mask=True))
            return await ends_with(bad)

    told = (errors.FrameTimeoutError, transport.PROTOCOL_ERROR)
    assert asyncio.run(run()) == told


def test_half_a_frame_ends_with_its_pings():
    async def run():
        async with (
            serving() as address,
            client.connect(f"ws://{address}/", compression=None) as bad,
        ):
            await bad.send(frame((1, REQ)))
            await bad.recv()
            data = Frame(Opcode.BINARY, bytes(100)).serialize(mask=True)
            bad.transport.write(data[:50])
            async with asyncio.timeout(WAIT_S):
                await bad.wait_closed()

    asyncio.run(run())


def test_connections_are_bounded():
    async def run():
        async with contextlib.AsyncExitStack() as stack:
            address = await stack.enter_async_context(serving())
            opened = [
                await stack.enter_async_context(
                    client.connect(f"ws://{address}/", compression=None)
                )
                for _ in range(LIMITS.max_connections + 1)
            ]
            over = await ends_with(opened[-1])
            await ends_with(opened[0])
            async with caller.session(address) as session:
                return over, (await session.read("s", "d", SHOW)).error

    over, error = asyncio.run(run())
    assert over == (errors.OverloadedError, transport.TRY_AGAIN_LATER)
    assert error is None


def test_request_too_large_to_send_is_not_run():
    async def run():
        async with serving() as address, caller.session(address) as session:
            large = request.Statement("x", (bytes(codec.MAX_FRAME_BYTES),))
            answer = await session.read("s", "d", large)
            return answer.error, (await session.read("s", "d", SHOW)).error

    error, after = asyncio.run(run())
    assert isinstance(error, errors.FrameTooLargeError)
    assert error.outcome is errors.Outcome.NOT_RUN
    assert after is None


class Large(filters.Filter):
    """Answers with more than a frame can hold."""

    def process(self, item):
        result = request.ResultSet(("x",), ((bytes(codec.MAX_FRAME_BYTES),),))
        answer = request.Answer(item.req.request_id, (result,))
        yield items.AnswerCaller(item.at, item.conn, item.seq, answer)


def test_answer_too_large_to_send_is_unknown():
    async def run():
        async with (
            serving(Large()) as address,
            caller.session(address) as session,
        ):
            return await session.read("s", "d", SHOW)

    assert asyncio.run(run()).outcome is errors.Outcome.UNKNOWN


def test_garbage_from_a_proxy_leaves_the_outcome_unknown():
    async def run():
        async def garble(conn):
            async for _ in conn.receive():
                await conn._websocket.send(b"\xff")

        async with (
            transport.listen("127.0.0.1:0", garble) as address,
            caller.session(address) as session,
        ):
            return await session.write("s", "d", SHOW)

    assert asyncio.run(run()).outcome is errors.Outcome.UNKNOWN
