"""Clients that end their side or read slowly while a statement is in flight."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import time
from collections.abc import AsyncIterator

from fescueshunt_standins.hosted import deployment, recorded_clients, server

STATEMENT_DURATION_S = 0.05
LONG_STATEMENT_S = 0.5
# Just before the sessions of a stopping host close behind their answers.
DRAINING_S = 2.4
ANSWER_TIMEOUT_S = 3.0
LEAD_S = 0.3
STOP_TIMEOUT_S = 8.0
# Later than a host without sessions exits, and before its grace period ends.
SLOW_READ_START_S = 3.2
LONG_LINE_BYTES = (1 << 20) + 1
ROW_BYTES = 48 * 1024
ROW_COUNT = 160
# Rows that have left the process long before the client has received them.
SYSTEM_ROW_COUNT = 10
# Longer than the host lingers once an answer has left the process.
UNREAD_S = 0.5
RECEIVE_BUFFER_BYTES = 8 * 1024
ROUTE = "card-renew"
SETUP_TIMEOUT_MS = 20_000
# The version of the routes after their first change.
FIRST_CHANGE = 2
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
    reader, writer = await recorded_clients.open_connection(sock=sock)
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


def _answer_count(lines: list[str]) -> int:
    return sum(line.startswith("READY") for line in lines)


# Failure: a client that sends more statements behind the one in flight loses
# the answers to all of them.
def test_client_that_sends_statements_ahead_gets_every_answer():
    reads = b"".join(b"QUERY r%d READ a\r\n" % n for n in range(5))
    mixed = b"".join(
        b"QUERY s%d SET z v%d\r\nQUERY w%d WRITE a 1\r\n" % (n, n, n)
        for n in range(4)
    )
    cases = {
        "reads, terminate": (reads + b"TERMINATE\r\n", False),
        "reads, half-close": (reads, True),
        "mixed, terminate": (mixed + b"TERMINATE\r\n", False),
        "transaction": (
            b"QUERY b BEGIN\r\nQUERY w WRITE a 2\r\nQUERY c COMMIT\r\n",
            True,
        ),
    }
    lines_by_case = asyncio.run(_converse_in_turn(cases))
    counts = {k: _answer_count(lines) for k, lines in lines_by_case.items()}
    assert counts == {
        name: data.count(b"QUERY") for name, (data, _) in cases.items()
    }
    assert all(_is_answer(lines) for lines in lines_by_case.values())


# Failure: the connection of a client that ended its side while nothing was in
# flight stays open.
def test_client_that_ends_its_side_while_idle_is_disconnected():
    cases = {
        "idle": (b"", True),
        "in transaction": (b"QUERY b BEGIN\r\n", True),
        "incomplete line": (b"QUERY b BE", True),
    }

    async def run() -> dict[str, list[str]]:
        async with deployment.running(1) as deployed:
            address = deployed.hosts[0].session_address
            lines_by_case = {
                name: await _converse(data, ends_side, address)
                for name, (data, ends_side) in cases.items()
            }
            host, _, port = address.rpartition(":")
            reader, writer = await recorded_clients.open_connection(
                host, int(port)
            )
            writer.write_eof()
            lines_by_case["no start"] = await _read_lines_to_end(reader)
            writer.close()
        return lines_by_case

    lines_by_case = asyncio.run(run())
    counts = {k: _answer_count(lines) for k, lines in lines_by_case.items()}
    assert counts == {
        "idle": 0,
        "in transaction": 1,
        "incomplete line": 0,
        "no start": 0,
    }


# Failure: a line that can't be decoded, sent behind a statement, takes the
# place of the statement's answer.
def test_undecodable_line_is_refused_after_the_answer_in_flight():
    cases = {
        "too long": (b"QUERY q1 READ a\r\n" + b"x" * LONG_LINE_BYTES, False),
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


async def _write_rows(
    deployed: deployment.Deployment, count: int = ROW_COUNT
) -> None:
    """Writes the rows that make every later answer to a read large.

    The outcome of a write that exceeds its route's timeout, as one may on a
    busy machine, is in doubt. So the routes have a long one meanwhile.
    """
    await deployed.change_routes(SETUP_TIMEOUT_MS)
    await deployed.wait_for_routes(FIRST_CHANGE)
    address = deployed.hosts[0].session_address
    async with deployment.session(address, ROUTE) as client:
        for number in range(count):
            value = str(number % 10) * ROW_BYTES
            answer = await client.execute(f"WRITE a {value}")
            assert answer[-2].startswith(COMPLETE)
    await deployed.change_routes(server.TIMEOUT_MS)
    await deployed.wait_for_routes(FIRST_CHANGE + 1)


async def _read_slowly(address: str, last_data: bytes) -> list[str]:
    """Reads the answer to a read long after the host has sent it.

    Args:
      address: the address of the host, which stops meanwhile.
      last_data: what the client sends just before it starts to read.
    """
    async with _open_session(address) as (reader, writer):
        statement_id = f"slow{len(last_data)}"
        writer.write(f"QUERY {statement_id} READ a\r\n".encode())
        await asyncio.sleep(LEAD_S + SLOW_READ_START_S)
        writer.write(last_data)
        await asyncio.sleep(LEAD_S)
        return await _read_lines_to_end(reader)


async def _stop_beside_slow_readers(
    last_data: tuple[bytes, ...],
) -> list[list[str]]:
    """Returns the lines that the slow clients of a stopping host received."""
    async with deployment.running(1) as deployed:
        (host,) = deployed.hosts
        await _write_rows(deployed)
        async with asyncio.TaskGroup() as tasks:
            readers = [
                tasks.create_task(_read_slowly(host.session_address, data))
                for data in last_data
            ]
            await asyncio.sleep(LEAD_S)
            host.popen.send_signal(signal.SIGTERM)
        code = await asyncio.to_thread(host.popen.wait, STOP_TIMEOUT_S)
    assert code == 0
    return [reader.result() for reader in readers]


# Failure: a host exits before a slow client has read an answer that the
# connection still buffers, or resets the connection because it left what the
# client sent behind its statement unread.
def test_stopping_host_delivers_large_answers_to_slow_readers():
    received = asyncio.run(_stop_beside_slow_readers((b"", b"TERMINATE\r\n")))
    ends = [[line[:40] for line in lines[-2:]] for lines in received]
    row_counts = [
        sum(line.startswith("ROW") for line in lines) for lines in received
    ]
    assert row_counts == [ROW_COUNT] * 2, ends
    assert all(_is_answer(lines) for lines in received), ends


# Failure: a client leaves an answer unread that has left the process, sends
# more, and loses the rest of the answer because its connection is reset.
def test_client_that_sends_more_beside_an_unread_answer_gets_it_all():
    async def run() -> list[str]:
        async with deployment.running(1) as deployed:
            address = deployed.hosts[0].session_address
            await _write_rows(deployed, SYSTEM_ROW_COUNT)
            async with _open_session(address) as (reader, writer):
                writer.write(b"QUERY q1 READ a\r\nTERMINATE\r\n")
                await asyncio.sleep(UNREAD_S)
                writer.write(b"QUERY q2 READ a\r\n")
                await asyncio.sleep(UNREAD_S)
                return await _read_lines_to_end(reader)

    lines = asyncio.run(run())
    ends = [line[:40] for line in lines[-2:]]
    assert sum(line.startswith("ROW") for line in lines) == SYSTEM_ROW_COUNT, (
        ends
    )
    assert _is_answer(lines), ends
    assert _answer_count(lines) == 1


# Failure: the end of a stream that a client has received, but never answers by
# ending its own, keeps the connection open.
def test_client_that_stays_connected_is_disconnected():
    async def run() -> float:
        async with deployment.running(1) as deployed:
            address = deployed.hosts[0].session_address
            async with _open_session(address) as (reader, writer):
                started_at = time.monotonic()
                writer.write(b"QUERY q1 READ a\r\nTERMINATE\r\n")
                assert _is_answer(await _read_lines_to_end(reader))
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    while not writer.transport.is_closing():
                        writer.write(b"MORE\r\n")
                        await asyncio.sleep(0.01)
                return time.monotonic() - started_at

    assert asyncio.run(run()) < ANSWER_TIMEOUT_S


# Failure: a client of a stopping host sends a statement while it is paused
# because it has sent another one ahead, and gets no answer to it.
def test_statement_that_was_sent_during_a_pause_is_answered_at_a_stop():
    async def run() -> list[str]:
        async with deployment.running(
            1, statement_duration_s=LONG_STATEMENT_S
        ) as deployed:
            (host,) = deployed.hosts
            async with _open_session(host.session_address) as (reader, writer):
                host.popen.send_signal(signal.SIGTERM)
                await asyncio.sleep(DRAINING_S)
                writer.write(b"QUERY q1 READ a\r\nQUERY q2 READ a\r\n")
                await asyncio.sleep(LEAD_S)
                writer.write(b"QUERY q3 WRITE a 1\r\n")
                return await _read_lines_to_end(reader)

    lines = asyncio.run(run())
    assert _answer_count(lines) == 3, lines
    assert lines[-1] == READY
    assert lines[-2].startswith((COMPLETE, "ERROR BUSY"))
