"""Runs hosts and the platform stand-in as processes on loopback."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
from typing import TYPE_CHECKING, Any

from fescueshunt import errors
from fescueshunt_standins import fleet
from fescueshunt_standins.hosted import (
    journal,
    lines,
    recorded_clients,
    server,
)
from fescueshunt_wire import http

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable, Iterator, Mapping

START_TIMEOUT_S = 20.0
ANSWER_TIMEOUT_S = 5.0
STAND_IN_TIMEOUT_S = 20.0
RETRY_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 15.0
GRACE_S = 6.0
UPSTREAM_JOURNAL = "upstreams.journal"
CLIENT_JOURNAL = "clients.journal"
MAX_SHOWN_VIOLATIONS = 20
ROUTES_VERSION = re.compile(rb"^fescueshunt_routes_version ([0-9]+)$", re.M)


_statement_numbers = itertools.count(1)


def next_statement_id() -> str:
    """Returns an id that no other statement of this process has.

    The judge identifies a statement by its id, so ids don't repeat in a
    deployment.
    """
    return f"q{next(_statement_numbers)}"


class ViolationError(AssertionError):
    """Clients or upstreams saw what the rules forbid."""


@dataclasses.dataclass(slots=True)
class HostProcess:
    """A host process, the addresses on which it listens, and its log file."""

    popen: subprocess.Popen
    session_address: str
    readiness_address: str
    metrics_address: str
    log_path: pathlib.Path


@dataclasses.dataclass(slots=True)
class Deployment:
    """The address and process of the platform stand-in, and the hosts."""

    platform_address: str
    platform_popen: subprocess.Popen
    hosts: list[HostProcess]

    async def control_upstream(self, action: str, upstream: str) -> None:
        """Makes the stand-in disturb an upstream, or end the disturbance.

        Args:
          action: `crash`, `restart`, `isolate` or `reconnect`.
          upstream: the name of the upstream.
        """
        await self._call_stand_in("POST", f"{action}?name={upstream}")

    async def change_routes(self, timeout_ms: int) -> None:
        """Gives all routes another timeout."""
        await self._call_stand_in("POST", f"routes?timeout_ms={timeout_ms}")

    async def set_quota(self, rate_per_s: float, burst: float) -> None:
        """Gives the account of the clients a quota, in operations."""
        call = f"accounts?rate_per_s={rate_per_s}&burst={burst}"
        await self._call_stand_in("POST", call)

    async def delay_promotions(self, count: int, delay_s: float) -> None:
        """Carries out the next `count` promotion calls late and unanswered."""
        call = f"late-promotions?count={count}&delay_s={delay_s}"
        await self._call_stand_in("POST", call)

    async def wait_for_routes(self, version: int) -> None:
        """Waits until every host has routes of at least `version` in force."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for host in self.hosts:
                while await _read_routes_version(host) < version:
                    await asyncio.sleep(RETRY_INTERVAL_S)

    async def read_statement_ids(self) -> set[str]:
        """Returns the ids of the clients' statements that reached upstreams."""
        return set((await self._call_stand_in("GET", "statements"))["ids"])

    async def read_committed_values(self) -> list[str]:
        """Returns the values in the latest log of a member, in order."""
        return (await self._call_stand_in("GET", "statements"))["committed"]

    async def read_entry(self, upstream: str) -> dict[str, Any]:
        """Returns what an upstream has registered in the store."""
        with http.open_client(self.platform_address) as client:
            target = f"/kv-key?key=servers/{upstream}"
            response = await client.call("GET", target, ANSWER_TIMEOUT_S)
        value = json.loads(response.body)["value"]
        return json.loads(base64.b64decode(value))

    async def read_violations(self) -> list[dict[str, str]]:
        """Returns what the stand-in has found wrong at the upstreams so far."""
        return (await self._call_stand_in("GET", "violations"))["violations"]

    async def _call_stand_in(self, method: str, call: str) -> dict[str, Any]:
        """Calls the stand-in; repeats a call that a busy machine held up."""
        target = f"/stand-in/{call}"
        with http.open_client(self.platform_address) as client:
            async with asyncio.timeout(STAND_IN_TIMEOUT_S):
                while True:
                    try:
                        response = await client.call(
                            method, target, ANSWER_TIMEOUT_S
                        )
                    except errors.ConnectionLostError:
                        await asyncio.sleep(RETRY_INTERVAL_S)
                        continue
                    assert response.status == 200
                    return json.loads(response.body)


@contextlib.contextmanager
def _running_process(
    command: list[str], log_path: pathlib.Path, env: dict
) -> Iterator:
    with log_path.open("w") as log_file:
        popen = subprocess.Popen(
            command, stdout=log_file, stderr=subprocess.STDOUT, env=env
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
    host_count: int = 2,
    source_tree: pathlib.Path | None = None,
    statement_duration_s: float = lines.CALL_DURATION_S,
    limits: Mapping[str, float] | None = None,
    *,
    is_judged: bool = True,
) -> AsyncIterator[Deployment]:
    """Runs a platform stand-in and hosts; stops only these on exit.

    What clients of `session` or of a recorded connection sent and received is
    compared with what upstreams ran; all clients have to be recorded.

    Args:
      host_count: the number of hosts to start.
      source_tree: a source tree whose packages the hosts run, for example that
        of an earlier version; by default, they run the installed packages.
      statement_duration_s: how long a client's statement takes at an upstream.
      limits: what the platform's settings let each host use, by name.
      is_judged: whether what clients and upstreams have seen is compared. All
        clients must be recorded then.

    Raises:
      ViolationError: if a rule was broken, on exit.
    """
    with tempfile.TemporaryDirectory() as folder_name:
        folder = pathlib.Path(folder_name)
        paths = (folder / UPSTREAM_JOURNAL, folder / CLIENT_JOURNAL)
        with contextlib.ExitStack() as stack:
            written = stack.enter_context(journal.writing(paths[1]))
            stack.enter_context(recorded_clients.recording(written))
            deployment = _start(
                stack,
                folder,
                host_count,
                source_tree,
                statement_duration_s,
                limits,
            )
            await _wait_until_ready(deployment.hosts)
            yield deployment
        # All processes have ended, so both journals are complete.
        if is_judged:
            _check_journals(paths)


async def _wait_until_ready(hosts: Iterable[HostProcess]) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        for host in hosts:
            while not await is_ready(host):
                await asyncio.sleep(RETRY_INTERVAL_S)


def _start(
    stack: contextlib.ExitStack,
    folder: pathlib.Path,
    host_count: int,
    source_tree: pathlib.Path | None,
    statement_duration_s: float,
    limits: Mapping[str, float] | None,
) -> Deployment:
    platform_address = fleet.free_address()
    command = [
        sys.executable,
        "-m",
        "fescueshunt_standins.hosted",
        platform_address,
        "--statement-duration-s",
        str(statement_duration_s),
        "--journal",
        str(folder / UPSTREAM_JOURNAL),
    ]
    platform_popen = stack.enter_context(
        _running_process(command, folder / "platform.log", dict(os.environ))
    )
    hosts = [
        _start_host(
            stack, folder, platform_address, number, source_tree, limits
        )
        for number in range(host_count)
    ]
    return Deployment(platform_address, platform_popen, hosts)


def _check_journals(paths: Iterable[pathlib.Path]) -> None:
    """Compares what upstreams ran with what clients sent and received.

    Raises:
      ViolationError: if a rule was broken.
    """
    checked = journal.judge_journals(paths)
    if checked.violation_count:
        kept = itertools.islice(checked.violations, MAX_SHOWN_VIOLATIONS)
        shown = "\n".join(map(str, kept))
        raise ViolationError(f"{checked.violation_count} violations:\n{shown}")


@contextlib.contextmanager
def starting_host(platform_address: str, number: int) -> Iterator[HostProcess]:
    """Starts another host without waiting for its readiness; stops it on exit.

    Args:
      platform_address: the address of a running platform stand-in.
      number: the number in the host's name.
    """
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        yield _start_host(stack, folder, platform_address, number, None)


def _start_host(
    stack: contextlib.ExitStack,
    folder: pathlib.Path,
    platform_address: str,
    number: int,
    source_tree: pathlib.Path | None,
    limits: Mapping[str, float] | None = None,
) -> HostProcess:
    session_address = fleet.free_address()
    readiness_address = fleet.free_address()
    metrics_address = fleet.free_address()
    peer_ip, _, peer_port = fleet.free_address().rpartition(":")
    settings = {
        "node_name": f"edge-{number}",
        "ip": peer_ip,
        "internal_ports": [int(peer_port), int(peer_port)],
        "zone": "z",
        "listen": {"front": session_address, "ready": readiness_address},
        "platform": {"address": platform_address},
        "cloud_api": {"address": platform_address},
        "bounds": {"grace_s": GRACE_S},
        "limits": dict(limits or {}),
    }
    boot_path = folder / f"boot-{number}.json"
    boot_path.write_text(json.dumps(settings))
    env = dict(os.environ, FESCUESHUNT_BOOT=str(boot_path))
    command = [sys.executable, "-m", "fescueshunt_proxy", "hosted"]
    if source_tree is None:
        ini_path = folder / f"host-{number}.ini"
        port = metrics_address.rpartition(":")[2]
        ini_path.write_text(f"[host]\nmetrics_port = {port}\n")
        command += ["--settings", str(ini_path)]
    else:
        source_dirs = sorted(source_tree.glob("packages/*/src"))
        env["PYTHONPATH"] = os.pathsep.join(map(str, source_dirs))
    log_path = folder / f"host-{number}.log"
    popen = stack.enter_context(_running_process(command, log_path, env))
    return HostProcess(
        popen, session_address, readiness_address, metrics_address, log_path
    )


async def is_ready(host: HostProcess) -> bool:
    """Returns whether the readiness check of a host succeeds.

    Sends the same request as the load balancer.
    """
    with http.open_client(host.readiness_address) as client:
        try:
            response = await client.call("GET", "/readiness", 1.0)
        except Exception:
            return False
    return response.status == 200


async def _read_routes_version(host: HostProcess) -> int:
    """Returns the version of the routes that a host has in force, 0 if none."""
    found = ROUTES_VERSION.search(await read_metrics(host))
    return int(found[1]) if found else 0


async def read_metrics(host: HostProcess) -> bytes:
    """Returns the metrics of a host, in the text exposition format."""
    with http.open_client(host.metrics_address) as client:
        response = await client.call("GET", "/metrics", ANSWER_TIMEOUT_S)
    return response.body


class LineClient:
    """A client session that speaks the line protocol."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def read_answer(self) -> list[str]:
        """Reads lines up to and including the `READY` line and returns them."""
        lines: list[str] = []
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while not lines or not lines[-1].startswith("READY"):
                data = await self.reader.readuntil(b"\r\n")
                lines.append(data.decode().rstrip("\r\n"))
        return lines

    async def execute(self, text: str) -> list[str]:
        """Sends a statement and returns the lines of the answer."""
        statement_id = next_statement_id()
        self.writer.write(f"QUERY {statement_id} {text}\r\n".encode())
        return await self.read_answer()


@contextlib.asynccontextmanager
async def session(address: str, route: str) -> AsyncIterator[LineClient]:
    """Opens a session for a route on the host at `address`."""
    host, _, port = address.rpartition(":")
    reader, writer = await recorded_clients.open_connection(host, int(port))
    client = LineClient(reader, writer)
    try:
        writer.write(f"START {route} {server.CLIENT_KEY}\r\n".encode())
        assert await client.read_answer() == ["READY I -"]
        yield client
    finally:
        writer.close()
