"""Tests of invalid, oversized and incomplete frames over real connections.

Such a frame must not affect other connections.
"""

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

SELECT = request.Statement("SELECT 1")
REQ = request.Request(bytes(16), "s", "d", request.Kind.READ, (SELECT,))
LIMITS = transport.ListenerLimits(
    max_connections=3, first_frame_timeout_s=0.4, idle_timeout_s=0.8
)
WAIT_S = 5.0


class Echo(filters.Filter):
    """Answers a request with a result set whose column is its statement."""

    def process(self, item):
        (statement,) = item.req.statements
        result = request.ResultSet((statement.sql,))
        answer = request.Answer(item.req.request_id, (result,))
        yield items.AnswerCaller(item.at, item.conn, item.seq, answer)


@contextlib.asynccontextmanager
async def serving(stage: filters.Filter | None = None):
    pipe = filters.Pipe((stage or Echo(),), (items.CallerRequest,))
    core_runtime = runtime.Runtime(filters.Core((pipe,)))
    connections = callers.CallerConnections(core_runtime, LIMITS)
    async with connections.serving("127.0.0.1:0") as address:
        yield address


async def wait_for_close(websocket) -> tuple[type, int]:
    """Waits until the connection closes.

    Returns the type of the error that was received, or None, and the close
    code.
    """
    error_type = None
    with contextlib.suppress(websockets.ConnectionClosed):
        async with asyncio.timeout(WAIT_S):
            while True:
                (envelope,) = codec.decode(await websocket.recv())
                if isinstance(envelope.message, failure.Failure):
                    error_type = type(envelope.message.error)
    await websocket.wait_closed()
    return error_type, websocket.close_code


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
def test_bad_frame_closes_only_its_own_connection(name):
    data, expected_error = BAD_FRAMES[name]

    async def run():
        async with (
            serving() as address,
            caller.session(address) as session,
            client.connect(f"ws://{address}/", compression=None) as bad_client,
        ):
            answer_before = await session.read("s", "d", SELECT)
            await bad_client.send(data)
            close_result = await wait_for_close(bad_client)
            answer_after = await session.read("s", "d", SELECT)
            return answer_before.error, close_result, answer_after.error

    assert asyncio.run(run()) == (
        None,
        (expected_error, transport.PROTOCOL_ERROR),
        None,
    )


def test_frame_over_read_limit_closes_connection():
    async def run():
        async with (
            serving() as address,
            client.connect(f"ws://{address}/", compression=None) as bad_client,
        ):
            with contextlib.suppress(websockets.ConnectionClosed):
                await bad_client.send(bytes(transport.MAX_READ_BYTES + 1))
            return await wait_for_close(bad_client)

    assert asyncio.run(run()) == (None, 1009)


@pytest.mark.parametrize("fragment", [False, True])
def test_missing_or_incomplete_frame_times_out(fragment):
    async def run():
        async with (
            serving() as address,
            client.connect(f"ws://{address}/", compression=None) as bad_client,
        ):
            if fragment:
                first_fragment = Frame(Opcode.BINARY, b"\x82", fin=False)
                bad_client.transport.write(first_fragment.serialize(mask=True))
            return await wait_for_close(bad_client)

    close_result = (errors.FrameTimeoutError, transport.PROTOCOL_ERROR)
    assert asyncio.run(run()) == close_result


def test_incomplete_frame_that_absorbs_pongs_closes_connection():
    async def run():
        async with (
            serving() as address,
            client.connect(f"ws://{address}/", compression=None) as bad_client,
        ):
            await bad_client.send(frame((1, REQ)))
            await bad_client.recv()
            data = Frame(Opcode.BINARY, bytes(100)).serialize(mask=True)
            bad_client.transport.write(data[:50])
            async with asyncio.timeout(WAIT_S):
                await bad_client.wait_closed()

    asyncio.run(run())


def test_connections_over_limit_are_rejected():
    async def run():
        async with contextlib.AsyncExitStack() as stack:
            address = await stack.enter_async_context(serving())
            clients = [
                await stack.enter_async_context(
                    client.connect(f"ws://{address}/", compression=None)
                )
                for _ in range(LIMITS.max_connections + 1)
            ]
            rejected = await wait_for_close(clients[-1])
            await wait_for_close(clients[0])
            async with caller.session(address) as session:
                return rejected, (await session.read("s", "d", SELECT)).error

    rejected, error = asyncio.run(run())
    assert rejected == (errors.OverloadedError, transport.TRY_AGAIN_LATER)
    assert error is None


def test_request_too_large_for_frame_is_not_run():
    async def run():
        async with serving() as address, caller.session(address) as session:
            large = request.Statement("x", (bytes(codec.MAX_FRAME_BYTES),))
            answer = await session.read("s", "d", large)
            return answer.error, (await session.read("s", "d", SELECT)).error

    error, error_after = asyncio.run(run())
    assert isinstance(error, errors.FrameTooLargeError)
    assert error.outcome is errors.Outcome.NOT_RUN
    assert error_after is None


class Large(filters.Filter):
    """Answers with a result that is larger than a frame can hold."""

    def process(self, item):
        result = request.ResultSet(("x",), ((bytes(codec.MAX_FRAME_BYTES),),))
        answer = request.Answer(item.req.request_id, (result,))
        yield items.AnswerCaller(item.at, item.conn, item.seq, answer)


def test_answer_too_large_for_frame_has_unknown_outcome():
    async def run():
        async with (
            serving(Large()) as address,
            caller.session(address) as session,
        ):
            return await session.read("s", "d", SELECT)

    assert asyncio.run(run()).outcome is errors.Outcome.UNKNOWN


def test_invalid_frame_from_proxy_has_unknown_outcome():
    async def run():
        async def send_garbage(conn):
            async for _ in conn.receive():
                await conn._websocket.send(b"\xff")

        async with (
            transport.listen("127.0.0.1:0", send_garbage) as address,
            caller.session(address) as session,
        ):
            return await session.write("s", "d", SELECT)

    assert asyncio.run(run()).outcome is errors.Outcome.UNKNOWN
