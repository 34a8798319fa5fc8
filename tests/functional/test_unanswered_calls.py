"""HTTP calls that end without an answer, on real connections."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import time

import pytest

from fescueshunt import errors
from fescueshunt_wire import http
from lib import held_up_call, unread_peer

CALL_TIMEOUT_S = 0.3
# Longer than a transport that is aborted needs to close its socket, which it
# does in the next turn of the loop.
ABORT_S = 0.05
# More than the kernel holds for a sender.
LARGE_BODY = bytes(8 * 1024 * 1024) + b"END"
# Longer than a process needs to hand a small request to the kernel.
HAND_OVER_S = 0.2
# Longer than the kernel tries to deliver bytes.
FREEZE_S = 3.0
CLOSING_ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


async def _time_out(address: str, body: bytes) -> None:
    client = http.Client(address)
    with pytest.raises(errors.ConnectionLostError):
        await client.call("POST", "/", CALL_TIMEOUT_S, body)


async def _cancel(address: str, body: bytes) -> None:
    client = http.Client(address)
    call = asyncio.create_task(client.call("POST", "/", 60.0, body))
    await asyncio.sleep(CALL_TIMEOUT_S)
    call.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await call


def _assert_cut_off(data: bytes, was_reset: bool) -> None:
    assert was_reset
    assert data.startswith(b"POST / HTTP/1.1\r\n")
    assert not data.endswith(b"END")
    assert len(data) < len(held_up_call.BODY)


# Guards against a promotion that takes effect seconds after its caller has
# given it up, since the kernel or the transport still delivers its request.
@pytest.mark.parametrize(
    "body", [held_up_call.BODY, LARGE_BODY], ids=["kernel", "transport"]
)
@pytest.mark.parametrize("give_up", [_time_out, _cancel])
def test_call_that_is_given_up_is_not_delivered(give_up, body: bytes):
    async def run(listener: socket.socket, address: str) -> tuple[bytes, bool]:
        await give_up(address, body)
        await asyncio.sleep(ABORT_S)
        with unread_peer.accept(listener) as conn:
            return await asyncio.to_thread(unread_peer.read_to_end, conn)

    with unread_peer.listening() as (listener, address):
        _assert_cut_off(*asyncio.run(run(listener, address)))


# Guards against a promotion that takes effect after its caller was killed,
# since the kernel still delivers its request.
def test_call_of_a_killed_process_is_not_delivered():
    with (
        unread_peer.listening() as (listener, address),
        held_up_call.calling(address) as process,
        unread_peer.accept(listener) as conn,
    ):
        conn.recv(1, socket.MSG_PEEK)
        time.sleep(HAND_OVER_S)
        process.kill()
        process.wait()
        _assert_cut_off(*unread_peer.read_to_end(conn))


# Guards against a promotion that takes effect seconds after it was called,
# since its caller stands still and so can't give it up.
def test_call_of_a_frozen_process_is_not_delivered():
    with (
        unread_peer.listening() as (listener, address),
        held_up_call.calling(address) as process,
        unread_peer.accept(listener) as conn,
    ):
        conn.recv(1, socket.MSG_PEEK)
        time.sleep(HAND_OVER_S)
        process.send_signal(signal.SIGSTOP)
        time.sleep(FREEZE_S)
        _assert_cut_off(*unread_peer.read_to_end(conn))


# Guards against servers that see failures because connections whose calls are
# answered are reset too.
def test_connection_ends_without_a_reset_behind_an_answer():
    async def run(listener: socket.socket, address: str) -> bool:
        client = http.Client(address)
        call = asyncio.create_task(client.call("POST", "/", 5.0, b"{}"))
        conn = await asyncio.to_thread(unread_peer.accept, listener)
        with conn:
            await asyncio.to_thread(conn.recv, unread_peer.READ_BYTES)
            conn.sendall(CLOSING_ANSWER)
            await call
            _, was_reset = await asyncio.to_thread(
                unread_peer.read_to_end, conn
            )
            return was_reset

    with unread_peer.listening() as (listener, address):
        assert not asyncio.run(run(listener, address))
