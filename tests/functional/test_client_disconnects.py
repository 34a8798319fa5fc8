"""Clients that end their side or read slowly while a statement is in flight."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from collections.abc import AsyncIterator

from fescueshunt_standins.hosted import deployment

STATEMENT_DURATION_S = 0.05
ANSWER_TIMEOUT_S = 3.0
STOP_TIMEOUT_S = 8.0
# Later than a host without sessions exits, and before its grace period ends.
SLOW_READ_START_S = 3.5
VALUE_BYTES = 48 * 1024
VALUE_COUNT = 160
RECEIVE_BUFFER_BYTES = 8 * 1024
ROUTE = "card-renew"
COMPLETE = "COMPLETE"
READY = "READY I -"


@contextlib.asynccontextmanager
async def _open_session(
    address: str,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Opens a session whose client has a small receive buffer."""
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=sock)
    try:
        writer.write(f"START {ROUTE} tester\r\n".encode())
        assert await reader.readuntil(b"\r\n") == b"READY I -\r\n"
        yield reader, writer
    finally:
        writer.close()


async def _read_lines_to_end(reader: asyncio.StreamReader) -> list[str]:
    """Returns the lines up to the end of the connection."""
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        try:
            data = await reader.read()
        except ConnectionError as exc:
            return [f"connection lost: {exc}"]
    return data.decode("latin-1").split("\r\n")[:-1]


async def _converse(data: bytes, ends_side: bool, address: str) -> list[str]:
    """Sends `data` in a session and returns all lines of the host."""
    async with _open_session(address) as (reader, writer):
        writer.write(data)
        if ends_side:
            writer.write_eof()
        return await _read_lines_to_end(reader)


async def _converse_in_turn(
    cases: dict[str, tuple[bytes, bool]],
) -> dict[str, list[str]]:
    """Returns the lines that the host sent in the session of each case."""
    async with deployment.running(
        1, statement_duration_s=STATEMENT_DURATION_S
    ) as deployed:
        address = deployed.hosts[0].session_address
        return {
            name: await _converse(data, ends_side, address)
            for name, (data, ends_side) in cases.items()
        }


def _is_answer(lines: list[str]) -> bool:
    return (
        len(lines) >= 2
        and lines[-2].startswith(COMPLETE)
        and lines[-1].startswith("READY")
    )


# Failure: a client that ends its side behind a statement, by TERMINATE or by
# half-closing, gets no answer to the statement.
def test_client_that_ends_its_side_gets_the_answer_in_flight():
    cases = {
        "terminate": (b"QUERY q1 READ a\r\nTERMINATE\r\n", False),
        "half-close": (b"QUERY q1 READ a\r\n", True),
        "both": (b"QUERY q1 WRITE a 1\r\nTERMINATE\r\n", True),
        "terminate at once": (b"QUERY q1 SET z w\r\nTERMINATE\r\n", False),
        "half-close at once": (b"QUERY q1 SET z w\r\n", True),
    }
    lines_by_case = asyncio.run(_converse_in_turn(cases))
    wrong = {k: v for k, v in lines_by_case.items() if not _is_answer(v)}
    assert wrong == {}


# Failure: a line that can't be decoded, sent behind a statement, takes the
# place of the statement's answer.
def test_undecodable_line_is_refused_after_the_answer_in_flight():
    cases = {
        "unknown": (b"QUERY q1 READ a\r\nNOISE\r\n", False),
        "bytes": (b"QUERY q1 READ a\r\n\xff\x00\r\n", False),
    }
    lines_by_case = asyncio.run(_converse_in_turn(cases))
    wrong = {
        name: lines
        for name, lines in lines_by_case.items()
        if not _is_answer(lines[:-1])
        or not lines[-1].startswith("ERROR MALFORMED")
    }
    assert wrong == {}


# Failure: a host exits before a slow client has read an answer that the
# connection still buffers.
def test_stopping_host_delivers_a_large_answer_to_a_slow_reader():
    async def run() -> list[str]:
        async with deployment.running(1) as deployed:
            (host,) = deployed.hosts
            async with deployment.session(
                host.session_address, ROUTE
            ) as client:
                for number in range(VALUE_COUNT):
                    value = str(number % 10) * VALUE_BYTES
                    answer = await client.execute(f"WRITE a {value}")
                    assert answer[-2].startswith(COMPLETE)
            async with _open_session(host.session_address) as (reader, writer):
                writer.write(b"QUERY q1 READ a\r\n")
                await asyncio.sleep(0.3)
                host.popen.send_signal(signal.SIGTERM)
                await asyncio.sleep(SLOW_READ_START_S)
                lines = await _read_lines_to_end(reader)
            code = await asyncio.to_thread(host.popen.wait, STOP_TIMEOUT_S)
            assert code == 0
            return lines

    lines = asyncio.run(run())
    sizes = [len(line) for line in lines if line.startswith("ROW")]
    end = [line[:40] for line in lines[-2:]]
    assert _is_answer(lines), f"{len(sizes)} rows, then {end}"
    assert len(sizes) == VALUE_COUNT
