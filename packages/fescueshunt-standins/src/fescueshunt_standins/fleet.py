"""Runs a whole deployment on loopback, for demos, benchmarks and tests.

Starts stand-ins and proxies as separate processes on free ports. Stops only
the processes that it started, through their `subprocess.Popen` objects.
"""

from __future__ import annotations

import contextlib
import dataclasses
import errno
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
SEED_COUNT = 3
MAX_PORT_DRAWS = 100
CHANGER_TOKEN = "changer-of-stand-ins"
READER_TOKEN = "reader-of-stand-ins"

_given_addresses: set[str] = set()


@dataclasses.dataclass(frozen=True, slots=True)
class FleetOptions:
    """Options of a deployment on loopback; times are in milliseconds.

    Attributes:
      statement_ms: the time that an upstream takes for a batch of statements.
      connect_ms: the time that an upstream takes to accept a connection.
      lag_ms: the replication lag of the replicas.
      list_lag_ms: the delay before a change appears in the host list.
      schema_sql: the statements that create the schema, separated by `;`.
      proxies_per_zone: the number of proxies to start in each zone.
      zone_ms: the one-way delay between zones.
      proxy: settings that every proxy gets in addition to its own.
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
    """A started process, the address that it printed and its INI file."""

    name: str
    popen: subprocess.Popen[str]
    address: str
    settings_path: pathlib.Path

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.popen.send_signal(signal_number)


@dataclasses.dataclass(slots=True)
class Fleet:
    """The processes of a deployment, by name, and its settings document."""

    folder: pathlib.Path
    document: document.Document
    options: FleetOptions
    platform: Process | None = None
    upstreams: dict[str, Process] = dataclasses.field(default_factory=dict)
    proxies: dict[str, Process] = dataclasses.field(default_factory=dict)

    def all_processes(self) -> list[Process]:
        """Returns the processes of the stand-ins and the proxies."""
        stand_ins = [self.platform] if self.platform else []
        return [*stand_ins, *self.upstreams.values(), *self.proxies.values()]

    def trace_files(self) -> list[pathlib.Path]:
        """Returns the trace files of the proxies, sorted by path."""
        return sorted(self.folder.glob("*.trace"))

    async def call_stand_in(self, process: Process, message: object) -> object:
        """Sends a message to a stand-in and returns its reply."""
        async with channel.connect(process.address) as stand_in:
            return await stand_in.call(message, CALL_TIMEOUT_S)


def free_address() -> str:
    """Returns a loopback address with a port that is free at present.

    The IP address is derived from the process id. Outgoing connections use
    127.0.0.1 as their source, so none of them can take the port before a server
    binds it. No address is returned twice, as the first server may not have
    bound it yet.

    Raises:
      OSError: no port is free that was not returned before.
    """
    pid = os.getpid()
    host = f"127.{64 + (pid >> 16) % 64}.{pid >> 8 & 255}.{pid & 255}"
    for _ in range(MAX_PORT_DRAWS):
        with socket.socket() as sock:
            sock.bind((host, 0))
            address = f"{host}:{sock.getsockname()[1]}"
        if address not in _given_addresses:
            _given_addresses.add(address)
            return address
    raise OSError(errno.EADDRINUSE, f"no free port is left at {host}")


@contextlib.contextmanager
def processes(
    settings_document: document.Document,
    options: FleetOptions,
    zones: Iterable[str],
) -> Iterator[Fleet]:
    """Starts the processes of a deployment; stops them on exit.

    Args:
      settings_document: declares the databases and upstreams; the addresses of
        the upstreams are replaced by those of the started processes.
      options: the options of the deployment.
      zones: the zones in which proxies start.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(pathlib.Path(folder), settings_document, options)
        try:
            start_platform(fleet)
            start_upstreams(fleet)
            for zone in zones:
                for number in range(1, options.proxies_per_zone + 1):
                    start_proxy(fleet, f"proxy-{zone}-{number}", zone)
            yield fleet
        finally:
            stop_all(fleet)


@contextlib.asynccontextmanager
async def running(
    settings_document: document.Document,
    options: FleetOptions,
    zones: Iterable[str],
) -> AsyncIterator[Fleet]:
    """Starts a deployment, stores its settings and registers its hosts.

    Takes the same arguments as `processes`.
    """
    with processes(settings_document, options, zones) as fleet:
        await put_settings(fleet)
        await register_hosts(fleet)
        yield fleet


def start_platform(fleet: Fleet) -> None:
    """Starts the platform stand-in and sets `fleet.platform`."""
    values = {
        "listen": free_address(),
        "list_lag_ms": fleet.options.list_lag_ms,
    }
    fleet.platform = _start_stand_in(fleet, "platform", "store", values)


def start_upstreams(fleet: Fleet) -> None:
    """Starts the upstreams; the first one of each database is the primary.

    Replaces the addresses of the upstreams in `fleet.document`.
    """
    databases = tuple(
        _start_database(fleet, database)
        for database in fleet.document.databases
    )
    fleet.document = dataclasses.replace(fleet.document, databases=databases)


def start_proxy(fleet: Fleet, name: str, zone: str) -> Process:
    """Starts a proxy and adds it to `fleet.proxies`."""
    peer_address = free_address()
    values = {
        "name": name,
        "zone": zone,
        "callers": free_address(),
        "peers": peer_address,
        "platform": fleet.platform.address,
        "admin": free_address(),
        "tokens_file": write_tokens_file(fleet),
        "seeds": ", ".join(_peer_addresses(fleet)[:SEED_COUNT]),
        "trace_file": fleet.folder / f"{name}.trace",
        "trace_share": 1.0,
        **dict(fleet.options.proxy),
    }
    path = _write_ini(fleet, name, "proxy", values)
    process = _start_process(
        fleet, name, path, [sys.executable, "-m", "fescueshunt_proxy"]
    )
    fleet.proxies[name] = process
    return process


def write_tokens_file(fleet: Fleet) -> pathlib.Path:
    """Writes the file with the operators' tokens.

    One operator has the role `change`, the other the role `read`.
    """
    path = fleet.folder / "operators.ini"
    path.write_text(
        f"[operator changer]\nrole = change\ntoken = {CHANGER_TOKEN}\n"
        f"[operator reader]\nrole = read\ntoken = {READER_TOKEN}\n"
    )
    return path


def admin_address(process: Process) -> str:
    """Returns the address on which a proxy serves operators."""
    return _read_ini(process.settings_path)["admin"]


def _peer_addresses(fleet: Fleet) -> list[str]:
    return [_read_ini(p.settings_path)["peers"] for p in fleet.proxies.values()]


def restart_proxy(fleet: Fleet, name: str) -> Process:
    """Restarts a stopped proxy with the same settings."""
    path = fleet.proxies[name].settings_path
    process = _start_process(
        fleet, name, path, [sys.executable, "-m", "fescueshunt_proxy"]
    )
    fleet.proxies[name] = process
    return process


def stop_all(fleet: Fleet) -> None:
    """Kills the processes that are still running."""
    alive = [p for p in fleet.all_processes() if p.popen.poll() is None]
    for process in alive:
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGKILL)
    for process in alive:
        process.popen.wait(STOP_TIMEOUT_S)


async def put_settings(fleet: Fleet) -> None:
    """Writes the settings document to the store as revision 1.

    Raises:
      RevisionConflictError: if the store already holds settings.
    """
    initial = dataclasses.replace(fleet.document, revision=1)
    await first_settings.put_if_absent(fleet.platform.address, initial)


async def register_hosts(fleet: Fleet) -> None:
    """Adds every proxy to the host list of the platform."""
    for process in fleet.proxies.values():
        await set_host(fleet, process)


async def set_host(
    fleet: Fleet, process: Process, leaving: bool = False
) -> None:
    """Sets the entry of a proxy in the host list of the platform."""
    values = _read_ini(process.settings_path)
    entry = platform.HostEntry(
        process.name, values["zone"], values["peers"], leaving
    )
    await fleet.call_stand_in(fleet.platform, platform.SetHost(entry))


def _start_database(
    fleet: Fleet, database: document.Database
) -> document.Database:
    group = fleet.document.group(database.group)
    primary = ""
    members = []
    for upstream in database.upstreams:
        values = {
            "name": upstream.name,
            "zone": upstream.zone,
            "listen": free_address(),
            "primary": primary,
            "slots": group.slots,
            "connections": group.connections,
            "connect_ms": fleet.options.connect_ms,
            "statement_ms": fleet.options.statement_ms,
            "lag_ms": fleet.options.lag_ms if primary else 0.0,
            "zone_ms": fleet.options.zone_ms,
            "schema_sql": fleet.options.schema_sql,
        }
        process = _start_stand_in(fleet, upstream.name, "upstream", values)
        fleet.upstreams[upstream.name] = process
        primary = primary or process.address
        members.append(dataclasses.replace(upstream, address=process.address))
    return dataclasses.replace(database, upstreams=tuple(members))


def _start_stand_in(
    fleet: Fleet, name: str, module_name: str, values: dict[str, object]
) -> Process:
    section = "platform" if module_name == "store" else module_name
    path = _write_ini(fleet, name, section, values)
    module = f"fescueshunt_standins.{module_name}"
    return _start_process(fleet, name, path, [sys.executable, "-m", module])


def _start_process(
    fleet: Fleet, name: str, path: pathlib.Path, command: list[str]
) -> Process:
    with (fleet.folder / f"{name}.log").open("w") as log_file:
        popen = subprocess.Popen(
            [*command, str(path)],
            stdout=subprocess.PIPE,
            stderr=log_file,
            text=True,
        )
    address = popen.stdout.readline().strip()
    if not address:
        popen.wait(STOP_TIMEOUT_S)
        log_text = (fleet.folder / f"{name}.log").read_text()
        raise errors.ConnectionLostError(f"{name} did not start: {log_text}")
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
