"""Processes that have no file descriptor left."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import resource
import signal
import socket
import time
from collections.abc import AsyncIterator, Iterator

import pytest

from fescueshunt_proxy.platform import front_end
from fescueshunt_standins import fleet as fleets
from fescueshunt_standins.hosted import deployment
from fescueshunt_wire import http, transport

ROUTE = "card-renew"
# Descriptors that the host may open beyond those that it has.
SPARE_FDS = 8
CLIENT_COUNT = 60
# Longer than the event loop's pause after a failed accept.
EXHAUSTED_S = 2.5
READ_INTERVAL_S = 0.02
# Much longer than a statement takes on a busy machine.
MAX_LATENCY_S = 1.0
# How long later clients may have to wait.
RECOVERY_S = 4.0
STOP_TIMEOUT_S = 8.0
OUT_OF_DESCRIPTORS = "socket.accept() out of system resource"
# A failed accept at each of three listeners once a second.
MAX_FAILED_ACCEPTS = 12


@dataclasses.dataclass(slots=True)
class _Run:
    """What a client saw of a host that had no file descriptor left.

    Attributes:
      answers: the last but one line of each answer.
      max_latency_s: the longest time that an answer took, in seconds.
      failed_accepts: how often the host has failed to accept a connection.
    """

    answers: list[str] = dataclasses.field(default_factory=list)
    max_latency_s: float = 0.0
    failed_accepts: int = 0

    async def read(self, client: deployment.LineClient) -> None:
        """Reads until the host has had no descriptor left for a while."""
        end = time.monotonic() + EXHAUSTED_S
        while (started_at := time.monotonic()) < end:
            answer = await client.execute("READ a")
            latency_s = time.monotonic() - started_at
            self.max_latency_s = max(self.max_latency_s, latency_s)
            self.answers.append(answer[-2])
            await asyncio.sleep(READ_INTERVAL_S)


def _limit_descriptors(pid: int) -> None:
    """Lets a process open only a few more file descriptors."""
    highest = max(map(int, os.listdir(f"/proc/{pid}/fd")))
    _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    limits = (highest + SPARE_FDS, hard)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)


@contextlib.asynccontextmanager
async def _many_connections(address: str) -> AsyncIterator[None]:
    """Opens more connections than the host has descriptors for."""
    host, _, port = address.rpartition(":")
    writers = []
    try:
        for _ in range(CLIENT_COUNT):
            _, writer = await asyncio.open_connection(host, int(port))
            writers.append(writer)
        yield
    finally:
        for writer in writers:
            writer.close()


async def _read_without_descriptors(host: deployment.HostProcess) -> _Run:
    """Reads in a session of a host that has no file descriptor left."""
    run = _Run()
    address = host.session_address
    async with deployment.session(address, ROUTE) as client:
        await client.execute("WRITE a 1")
        _limit_descriptors(host.popen.pid)
        async with _many_connections(address):
            await run.read(client)
            log = host.log_path.read_text()
    run.failed_accepts = log.count(OUT_OF_DESCRIPTORS)
    return run


# Failure: a host that once had no file descriptor left does nothing but retry
# to accept, so that open sessions wait for their answers and later ones for
# their start.
def test_host_without_descriptors_answers_its_sessions_and_recovers():
    async def run() -> tuple[_Run, list[str]]:
        async with deployment.running(1) as deployed:
            (host,) = deployed.hosts
            seen = await _read_without_descriptors(host)
            async with (
                asyncio.timeout(RECOVERY_S),
                deployment.session(host.session_address, ROUTE) as later,
            ):
                return seen, await later.execute("READ a")

    seen, answer = asyncio.run(run())
    assert 0 < seen.failed_accepts <= MAX_FAILED_ACCEPTS
    assert seen.max_latency_s < MAX_LATENCY_S
    assert any(line.startswith("COMPLETE") for line in seen.answers)
    assert answer[-2].startswith("COMPLETE")


# Failure: a host without a file descriptor left doesn't follow SIGTERM.
def test_host_without_descriptors_stops_gracefully():
    async def run() -> int:
        async with deployment.running(1) as deployed:
            (host,) = deployed.hosts
            await _read_without_descriptors(host)
            host.popen.send_signal(signal.SIGTERM)
            return await asyncio.to_thread(host.popen.wait, STOP_TIMEOUT_S)

    assert asyncio.run(run()) == 0


@contextlib.contextmanager
def _no_descriptor_left() -> Iterator[None]:
    """Lets this process open no further file descriptor."""
    lowest_free = os.dup(0)
    os.close(lowest_free)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


async def _respond(request: http.Request) -> http.Response:
    return http.Response(200, request.body)


async def _handle(conn: transport.Connection) -> None:
    pass


LISTENERS = {
    "http": lambda address: http.serve(address, _respond),
    "frames": lambda address: transport.listen(address, _handle),
    "lines": lambda address: front_end.LineProtocolFrontEnd().serving(
        address, lambda conn: None
    ),
}


# Failure: a listener without a file descriptor left plans many retries for each
# connection that it fails to accept.
@pytest.mark.parametrize("kind", LISTENERS)
def test_listener_without_descriptors_retries_once(kind):
    failures: list[str] = []

    async def run() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, c: failures.append(c["message"]))
        address = fleets.free_address()
        host, _, port = address.rpartition(":")
        async with LISTENERS[kind](address):
            with socket.socket() as client, _no_descriptor_left():
                client.setblocking(False)
                await loop.sock_connect(client, (host, int(port)))
                await asyncio.sleep(0.1)

    asyncio.run(run())
    assert failures == [OUT_OF_DESCRIPTORS]
