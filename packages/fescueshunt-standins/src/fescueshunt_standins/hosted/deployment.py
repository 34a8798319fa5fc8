"""The hosts' program and the platform's stand-in as processes on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
from typing import TYPE_CHECKING

from fescueshunt_standins import fleet
from fescueshunt_wire import http

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

START_TIMEOUT_S = 20.0
ANSWER_TIMEOUT_S = 5.0
STOP_TIMEOUT_S = 15.0
GRACE_S = 6.0


@dataclasses.dataclass(slots=True)
class HostProcess:
    """A running host and where it listens."""

    popen: subprocess.Popen
    sessions: str
    readiness: str
    metrics: str
    log: pathlib.Path


@dataclasses.dataclass(slots=True)
class Deployment:
    """The platform's stand-in and the hosts."""

    platform: str
    hosts: list[HostProcess]

    async def act(self, what: str, upstream: str) -> None:
        """Lets the stand-in crash or restart an upstream."""
        target = f"/stand-in/{what}?name={upstream}"
        client = http.Client(self.platform)
        response = await client.call("POST", target, ANSWER_TIMEOUT_S)
        assert response.status == 200


@contextlib.contextmanager
def _running(args: list[str], log: pathlib.Path, env: dict) -> Iterator:
    with log.open("w") as stream:
        popen = subprocess.Popen(
            args, stdout=stream, stderr=subprocess.STDOUT, env=env
        )
        try:
            yield popen
        finally:
            popen.send_signal(signal.SIGTERM)
            try:
                popen.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                popen.kill()
                popen.wait()


@contextlib.asynccontextmanager
async def running(
    count: int = 2, sources: pathlib.Path | None = None
) -> AsyncIterator[Deployment]:
    """Starts a stand-in and `count` hosts; ends them, and only them.

    Args:
      count: how many hosts.
      sources: a tree whose packages the hosts run, such as an earlier
        version's; by default those that are installed.
    """
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        platform = fleet.free_address()
        args = [sys.executable, "-m", "fescueshunt_standins.hosted", platform]
        env = dict(os.environ)
        stack.enter_context(_running(args, folder / "platform.log", env))
        hosts = [
            _start_host(stack, folder, platform, number, sources)
            for number in range(count)
        ]
        deployed = Deployment(platform, hosts)
        async with asyncio.timeout(START_TIMEOUT_S):
            for host in hosts:
                while not await is_ready(host):
                    await asyncio.sleep(0.05)
        yield deployed


def _start_host(
    stack: contextlib.ExitStack,
    folder: pathlib.Path,
    platform: str,
    number: int,
    sources: pathlib.Path | None,
) -> HostProcess:
    sessions = fleet.free_address()
    readiness = fleet.free_address()
    metrics = fleet.free_address()
    settings = {
        "node_name": f"edge-{number}",
        "zone": "z",
        "listen": {"front": sessions, "ready": readiness},
        "platform": {"address": platform},
        "cloud_api": {"address": platform},
        "bounds": {"grace_s": GRACE_S},
    }
    file = folder / f"boot-{number}.json"
    file.write_text(json.dumps(settings))
    env = dict(os.environ, FESCUESHUNT_BOOT=str(file))
    args = [sys.executable, "-m", "fescueshunt_proxy", "hosted"]
    if sources is None:
        own = folder / f"host-{number}.ini"
        port = metrics.rpartition(":")[2]
        own.write_text(f"[host]\nmetrics_port = {port}\n")
        args += ["--settings", str(own)]
    else:
        trees = sorted(sources.glob("packages/*/src"))
        env["PYTHONPATH"] = os.pathsep.join(map(str, trees))
    log = folder / f"host-{number}.log"
    popen = stack.enter_context(_running(args, log, env))
    return HostProcess(popen, sessions, readiness, metrics, log)


async def is_ready(host: HostProcess) -> bool:
    """Asks as the balancer does."""
    client = http.Client(host.readiness)
    try:
        response = await client.call("GET", "/readiness", 1.0)
    except Exception:
        return False
    return response.status == 200


class LineClient:
    """A client's session, line by line."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self._count = 0

    async def read_answer(self) -> list[str]:
        """Returns the lines up to the one that ends the answer."""
        lines: list[str] = []
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while not lines or not lines[-1].startswith("READY"):
                data = await self.reader.readuntil(b"\r\n")
                lines.append(data.decode().rstrip("\r\n"))
        return lines

    async def ask(self, text: str) -> list[str]:
        """Sends a statement and returns the lines of its answer."""
        self._count += 1
        self.writer.write(f"QUERY q{self._count} {text}\r\n".encode())
        return await self.read_answer()


@contextlib.asynccontextmanager
async def session(address: str, route: str) -> AsyncIterator[LineClient]:
    """Opens a session."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    client = LineClient(reader, writer)
    try:
        writer.write(f"START {route} tester\r\n".encode())
        assert await client.read_answer() == ["READY I -"]
        yield client
    finally:
        writer.close()
