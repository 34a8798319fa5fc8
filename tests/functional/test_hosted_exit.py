"""What a host process prints when it ends."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
from typing import TYPE_CHECKING

import pytest

from fescueshunt_standins.hosted import deployment
from lib import stop_load

if TYPE_CHECKING:
    from collections.abc import Iterator

STOP_TIMEOUT_S = 15.0
READ_BYTES = 1 << 16
# Whether the platform answers the calls that the host makes while it stops.
PLATFORM_SIGNALS = {"answered": None, "in flight": signal.SIGSTOP}


def _connect(address: str, data: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)))
    sock.sendall(data.encode())
    return sock


@contextlib.contextmanager
def _open_connections(host: deployment.HostProcess) -> Iterator[None]:
    """Opens connections of every kind, and leaves them open."""
    with contextlib.ExitStack() as stack:
        for address in (host.readiness_address, host.metrics_address):
            for data in (
                "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n",
                "GET /metrics HTTP/1.1\r\n",
                "",
            ):
                sock = stack.enter_context(_connect(address, data))
                if data.endswith("\r\n\r\n"):
                    sock.recv(READ_BYTES)
        for data in (f"START {stop_load.REPLICA_ROUTE} tester\r\n", ""):
            stack.enter_context(_connect(host.session_address, data))
        yield


async def _stop(signal_number: int | None) -> tuple[int, list[str]]:
    """Stops a host; returns its exit code and the lines that it printed."""
    async with deployment.running(1) as deployed:
        (host,) = deployed.hosts
        with _open_connections(host), contextlib.ExitStack() as stack:
            if signal_number is not None:
                platform = deployed.platform_popen
                platform.send_signal(signal_number)
                stack.callback(platform.send_signal, signal.SIGCONT)
            host.popen.send_signal(signal.SIGTERM)
            code = await asyncio.to_thread(host.popen.wait, STOP_TIMEOUT_S)
        return code, host.log_path.read_text().splitlines()


# Failure: a host that ends prints tracebacks for connections that it has left
# open, which an operator can't tell from those of a fault.
@pytest.mark.parametrize("calls", PLATFORM_SIGNALS)
def test_host_that_ends_prints_log_lines_only(calls: str):
    code, printed = asyncio.run(_stop(PLATFORM_SIGNALS[calls]))
    print(*printed[-30:], sep="\n")
    assert code == 0
    events = [json.loads(line)["event"] for line in printed]
    assert events[-1] == "stopped"
    assert "item_failed" not in events
