"""A whole deployment on loopback, for demos and tests.

Starts stand-ins and proxies as separate processes on free ports, and ends
them, and only them, by their process objects.
"""

from __future__ import annotations

import contextlib
import dataclasses
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt_wire import channel, first_settings, platform

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable, Iterator

    from fescueshunt.core import document

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 5.0
SEEDS = 3
CHANGER_TOKEN = "changer-of-stand-ins"
READER_TOKEN = "reader-of-stand-ins"


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """What a deployment's hosts are like; times in milliseconds.

    `zone_ms` is the delay one way between zones. `proxy` has settings that
    every proxy gets beside its own.
    """

    statement_ms: float = 0.5
    connect_ms: float = 12.0
    lag_ms: float = 0.0
    list_lag_ms: float = 500.0
    schema_sql: str = ""
    proxies_per_zone: int = 2
    zone_ms: float = 0.0
    proxy: tuple[tuple[str, object], ...] = ()


@dataclasses.dataclass(slots=True)
class Process:
    """A started process and the address that it printed."""

    name: str
    popen: subprocess.Popen[str]
    address: str
    settings: pathlib.Path

    def send(self, number: signal.Signals) -> None:
        """Sends the process a signal."""
        self.popen.send_signal(number)


@dataclasses.dataclass(slots=True)
class Fleet:
    """The processes of a deployment by name, and its settings document."""

    folder: pathlib.Path
    document: document.Document
    site: Site
    platform: Process | None = None
    upstreams: dict[str, Process] = dataclasses.field(default_factory=dict)
    proxies: dict[str, Process] = dataclasses.field(default_factory=dict)

    def all(self) -> list[Process]:
        """Returns every process."""
        first = [self.platform] if self.platform else []
        return [*first, *self.upstreams.values(), *self.proxies.values()]

    def trace_files(self) -> list[pathlib.Path]:
        """Returns the trace files that the proxies have written."""
        return sorted(self.folder.glob("*.trace"))

    async def stand_in(self, process: Process, message: object) -> object:
        """Sends a stand-in a message and returns its answer."""
        async with channel.connect(process.address) as calls:
            return await calls.call(message, CALL_TIMEOUT_S)


def free_address() -> str:
    """Returns a loopback address whose port is free now.

    The IP number is this process's own: outgoing connections come from
    127.0.0.1, so none of them takes the port before it is bound.
    """
    pid = os.getpid()
    host = f"127.{64 + (pid >> 16) % 64}.{pid >> 8 & 255}.{pid & 255}"
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


@contextlib.contextmanager
def processes(
    declared: document.Document, site: Site, zones: Iterable[str]
) -> Iterator[Fleet]:
    """Starts a deployment's processes and ends them.

    `declared` names databases and upstreams; their addresses are replaced.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(pathlib.Path(folder), declared, site)
        try:
            start_platform(fleet)
            start_upstreams(fleet)
            for zone in zones:
                for number in range(1, site.proxies_per_zone + 1):
                    start_proxy(fleet, f"proxy-{zone}-{number}", zone)
            yield fleet
        finally:
            stop_all(fleet)


@contextlib.asynccontextmanager
async def running(
    declared: document.Document, site: Site, zones: Iterable[str]
) -> AsyncIterator[Fleet]:
    """Starts a deployment, lists its hosts and puts its settings in force."""
    with processes(declared, site, zones) as fleet:
        await put_settings(fleet)
        await list_hosts(fleet)
        yield fleet


def start_platform(fleet: Fleet) -> None:
    """Starts the platform stand-in."""
    values = {
        "listen": free_address(),
        "list_lag_ms": fleet.site.list_lag_ms,
    }
    fleet.platform = _start_stand_in(fleet, "platform", "store", values)


def start_upstreams(fleet: Fleet) -> None:
    """Starts every upstream; the first of each database is its primary."""
    databases = tuple(
        _start_database(fleet, database)
        for database in fleet.document.databases
    )
    fleet.document = dataclasses.replace(fleet.document, databases=databases)


def start_proxy(fleet: Fleet, name: str, zone: str) -> Process:
    """Starts one proxy."""
    peers = free_address()
    values = {
        "name": name,
        "zone": zone,
        "callers": free_address(),
        "peers": peers,
        "platform": fleet.platform.address,
        "admin": free_address(),
        "tokens_file": write_tokens(fleet),
        "seeds": ", ".join(_peer_addresses(fleet)[:SEEDS]),
        "trace_file": fleet.folder / f"{name}.trace",
        "trace_share": 1.0,
        **dict(fleet.site.proxy),
    }
    path = _write_ini(fleet, name, "proxy", values)
    process = _start(
        fleet, name, path, [sys.executable, "-m", "fescueshunt_proxy"]
    )
    fleet.proxies[name] = process
    return process


def write_tokens(fleet: Fleet) -> pathlib.Path:
    """Writes the operators' tokens: one may change settings, one reads."""
    path = fleet.folder / "operators.ini"
    path.write_text(
        f"[operator changer]\nrole = change\ntoken = {CHANGER_TOKEN}\n"
        f"[operator reader]\nrole = read\ntoken = {READER_TOKEN}\n"
    )
    return path


def admin_address(process: Process) -> str:
    """Returns where a proxy serves operators."""
    return _read_ini(process.settings)["admin"]


def _peer_addresses(fleet: Fleet) -> list[str]:
    return [_read_ini(p.settings)["peers"] for p in fleet.proxies.values()]


def restart_proxy(fleet: Fleet, name: str) -> Process:
    """Starts a proxy that has ended again, with the settings it had."""
    path = fleet.proxies[name].settings
    process = _start(
        fleet, name, path, [sys.executable, "-m", "fescueshunt_proxy"]
    )
    fleet.proxies[name] = process
    return process


def stop_all(fleet: Fleet) -> None:
    """Ends every process that still runs."""
    running_now = [p for p in fleet.all() if p.popen.poll() is None]
    for process in running_now:
        process.send(signal.SIGCONT)
        process.send(signal.SIGKILL)
    for process in running_now:
        process.popen.wait(STOP_TIMEOUT_S)


async def put_settings(fleet: Fleet) -> None:
    """Puts the settings document into the store as revision 1.

    Raises:
      RevisionConflictError: if the store has settings already.
    """
    first = dataclasses.replace(fleet.document, revision=1)
    await first_settings.put_if_absent(fleet.platform.address, first)


async def list_hosts(fleet: Fleet) -> None:
    """Puts every proxy on the platform's list of hosts."""
    for process in fleet.proxies.values():
        await set_host(fleet, process)


async def set_host(
    fleet: Fleet, process: Process, leaving: bool = False
) -> None:
    """Changes one entry of the platform's list of hosts."""
    values = _read_ini(process.settings)
    entry = platform.HostEntry(
        process.name, values["zone"], values["peers"], leaving
    )
    await fleet.stand_in(fleet.platform, platform.SetHost(entry))


def _start_database(
    fleet: Fleet, database: document.Database
) -> document.Database:
    group = fleet.document.group(database.group)
    primary = ""
    started = []
    for upstream in database.upstreams:
        values = {
            "name": upstream.name,
            "zone": upstream.zone,
            "listen": free_address(),
            "primary": primary,
            "slots": group.slots,
            "connections": group.connections,
            "connect_ms": fleet.site.connect_ms,
            "statement_ms": fleet.site.statement_ms,
            "lag_ms": fleet.site.lag_ms if primary else 0.0,
            "zone_ms": fleet.site.zone_ms,
            "schema_sql": fleet.site.schema_sql,
        }
        process = _start_stand_in(fleet, upstream.name, "upstream", values)
        fleet.upstreams[upstream.name] = process
        primary = primary or process.address
        started.append(dataclasses.replace(upstream, address=process.address))
    return dataclasses.replace(database, upstreams=tuple(started))


def _start_stand_in(
    fleet: Fleet, name: str, kind: str, values: dict[str, object]
) -> Process:
    section = "platform" if kind == "store" else kind
    path = _write_ini(fleet, name, section, values)
    module = f"fescueshunt_standins.{kind}"
    return _start(fleet, name, path, [sys.executable, "-m", module])


def _start(
    fleet: Fleet, name: str, path: pathlib.Path, command: list[str]
) -> Process:
    with (fleet.folder / f"{name}.log").open("w") as log:
        popen = subprocess.Popen(
            [*command, str(path)],
            stdout=subprocess.PIPE,
            stderr=log,
            text=True,
        )
    address = popen.stdout.readline().strip()
    if not address:
        popen.wait(STOP_TIMEOUT_S)
        text = (fleet.folder / f"{name}.log").read_text()
        raise errors.ConnectionLostError(f"{name} did not start: {text}")
    return Process(name, popen, address, path)


def _write_ini(
    fleet: Fleet, name: str, section: str, values: dict[str, object]
) -> pathlib.Path:
    path = fleet.folder / f"{name}.ini"
    lines = [f"{key} = {value}" for key, value in values.items()]
    path.write_text("\n".join([f"[{section}]", *lines, ""]))
    return path


def _read_ini(path: pathlib.Path) -> dict[str, str]:
    lines = path.read_text().splitlines()[1:]
    pairs = (line.split(" = ", 1) for line in lines if " = " in line)
    return dict(pairs)
