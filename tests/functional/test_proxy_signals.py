"""Tests that signals end a proxy only gracefully, on a real process."""

import asyncio
import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import time

from fescueshunt import errors
from fescueshunt.core import request
from fescueshunt_cli import caller
from fescueshunt_standins import fleet as fleets

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.01
SELECT = request.Statement("SELECT 1")


@contextlib.contextmanager
def running_proxy(folder: pathlib.Path, stdout: int):
    """Starts a proxy without a platform; yields it and its address."""
    address = fleets.free_address()
    path = folder / "proxy.ini"
    path.write_text(
        "[proxy]\nname = p\nzone = z\n"
        f"callers = {address}\npeers = {fleets.free_address()}\n"
        f"platform = {fleets.free_address()}\n"
    )
    command = [sys.executable, "-m", "fescueshunt_proxy", str(path)]
    with subprocess.Popen(command, stdout=stdout) as process:
        try:
            yield process, address
        finally:
            process.kill()


async def read(address: str) -> request.Answer:
    async with caller.session(address) as session:
        return await session.read("s", "d", SELECT)


# Guards against a proxy that dies, with all its requests in flight, because
# its terminal was closed or an operator expected SIGHUP to reload settings.
def test_hangup_does_not_end_the_proxy(tmp_path):
    with running_proxy(tmp_path, subprocess.PIPE) as (process, address):
        process.stdout.readline()
        process.send_signal(signal.SIGHUP)
        answer = asyncio.run(read(address))
        process.send_signal(signal.SIGTERM)
        exit_code = process.wait(STOP_TIMEOUT_S)
    assert isinstance(answer.error, errors.NoRouteError)
    assert exit_code == 0


def is_bound(address: str) -> bool:
    host, port = address.rsplit(":", 1)
    wanted = f"{int.from_bytes(map(int, host.split('.')), 'little'):08X}"
    table = pathlib.Path("/proc/net/tcp").read_text()
    return f"{wanted}:{int(port):04X} 00000000:0000 0A" in table


# Guards against a proxy that SIGTERM kills at once because it already accepts
# callers but has not installed its signal handlers yet.
def test_proxy_stops_gracefully_as_soon_as_it_accepts_callers(tmp_path):
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(write_end, bytes(4096))
    os.set_blocking(write_end, True)
    # The full pipe blocks the proxy as it prints its address.
    with running_proxy(tmp_path, write_end) as (process, address):
        os.close(write_end)
        deadline = time.monotonic() + START_TIMEOUT_S
        while not is_bound(address) and time.monotonic() < deadline:
            time.sleep(POLL_INTERVAL_S)
        assert is_bound(address)
        process.send_signal(signal.SIGTERM)
        with os.fdopen(read_end, "rb") as stdout:
            stdout.read()
        exit_code = process.wait(STOP_TIMEOUT_S)
    assert exit_code == 0
