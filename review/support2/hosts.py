"""Starts hosts with the deploy file's command, and ends them."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import shlex
import signal
import socket
import subprocess
import tempfile
import tomllib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from support2 import record

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
KIB_BYTES = 1024
MB_BYTES = 1_000_000
READY_TIMEOUT_S = 20.0
READY_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 10.0
# Those of a machine of the site sk-west, as its page of settings has them.
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "stable_ms": 4000,
    "ack_ms": 5000,
    "catchup_s": 4,
    "drain_ms": 7000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "downgrade_slack_ms": 250,
    "max_skew_ms": 12000,
    "recovery_s": 12,
    "fencing_enforced": False,
    "thaw_slack_ms": 300,
}
CONTRACTS = ["base", "drain", "config", "cost", "recover", "sql", "platform"]
LIMITS = {
    "cpu_share": 0.537,
    "cores": 2,
    "memory_mb": 300,
    "max_fds": 4200,
    "link_mbps": 1000.0,
    "disk_mb": 0,
}


def loopback(number: int) -> str:
    """Returns a loopback address that other runs are unlikely to use."""
    pid = os.getpid()
    return f"127.{100 + pid % 100}.{pid // 100 % 250}.{number}"


def free_port(host: str) -> int:
    """Returns a port that is free at `host`."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


@dataclasses.dataclass(slots=True)
class Host:
    """A host process and its addresses."""

    name: str
    ip: str
    front_port: int
    ready_port: int
    popen: subprocess.Popen[bytes]
    command: list[str]
    env: dict[str, str]
    log_path: pathlib.Path

    def restart(self) -> None:
        """Starts the process again, after it has ended."""
        self.popen = _run(self.command, self.env, self.log_path)

    def peak_memory_mb(self) -> float:
        """Returns the most memory that the process has had, 0 if it ended."""
        try:
            status = pathlib.Path(f"/proc/{self.popen.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * KIB_BYTES / MB_BYTES
        return 0.0

    async def is_ready(self) -> bool:
        """Returns whether the readiness check succeeds."""
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.ready_port
            )
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            status = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in status


def start(
    name: str, number: int, store: str, cloud: str, folder: pathlib.Path
) -> Host:
    """Starts one host; `number` is the last part of its address."""
    ip = loopback(number)
    front_port, ready_port = free_port(ip), free_port(ip)
    boot = {
        "node_name": name,
        "role": "proxy",
        "machine_class": "edge",
        "serves": ["edge"],
        "ip": ip,
        "zone": "zone-a",
        "region": "region-a",
        "zones": {"zone-a": "region-a"},
        "listen": {
            "front": f"{ip}:{front_port}",
            "ready": f"{ip}:{ready_port}",
        },
        "internal_ports": [free_port(ip), 65535],
        "seeds": [],
        "bootstrap": True,
        "loss_counts": False,
        "limits": LIMITS,
        "data_dir": None,
        "discovery": "platform",
        "entry": "vip",
        "heartbeat_ms": 1200,
        "contracts": CONTRACTS,
        "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
        "bounds": BOUNDS,
        "platform": {
            "address": store,
            "form": "kv",
            "writes_per_s": 400,
            "reads_per_s": 2000,
            "history_s": 20,
            "max_value_bytes": 1 << 20,
            "min_ttl_ms": 1000,
        },
        "cloud_api": {
            "address": cloud,
            "rate_per_s": 50.0,
            "duties": ["failover"],
            "duty_per_s": 50.0,
        },
    }
    boot_path = folder / f"{name}.json"
    boot_path.write_text(json.dumps(boot))
    deploy = tomllib.loads(DEPLOY_FILE.read_text())
    command = shlex.split(deploy["roles"]["proxy"]["run"])
    kept = ("PATH", "HOME", "LANG")
    env = {key: os.environ[key] for key in kept if key in os.environ}
    env["PYTHONPATH"] = str(ROOT / "target" / "deps")
    env["FESCUESHUNT_BOOT"] = str(boot_path)
    log_path = folder / f"{name}.log"
    popen = _run(command, env, log_path)
    return Host(name, ip, front_port, ready_port, popen, command, env, log_path)


def _run(
    command: list[str], env: dict[str, str], log_path: pathlib.Path
) -> subprocess.Popen[bytes]:
    with log_path.open("ab") as log:
        return subprocess.Popen(
            command, cwd=ROOT, env=env, stdout=log, stderr=log
        )


def stop(host: Host) -> None:
    """Ends a host that was started here."""
    if host.popen.poll() is None:
        host.popen.send_signal(signal.SIGKILL)
    host.popen.wait(STOP_TIMEOUT_S)


@contextlib.contextmanager
def running(
    stores: Sequence[str], cloud: str, record: record.Record
) -> Iterator[list[Host]]:
    """Runs a host for each address of a store, until the context exits."""
    with tempfile.TemporaryDirectory() as folder_name:
        folder = pathlib.Path(folder_name)
        hosts: list[Host] = []
        try:
            for number, store in enumerate(stores):
                name = f"edge-zone-a-{number + 1}"
                hosts.append(start(name, number + 10, store, cloud, folder))
            yield hosts
        finally:
            for host in hosts:
                stop(host)
            for path in sorted(folder.glob("*.log")):
                for line in path.read_text(errors="replace").splitlines():
                    if any(event in line for event in KEPT_EVENTS):
                        record.note(f"log of {path.stem}:", line=line)


# The log lines of hosts that go into the record.
KEPT_EVENTS = (
    "replacing",
    "fenced",
    "promotion_",
    "duty_",
    "primary_changed",
    "Traceback",
    "Error",
)


async def wait_until_ready(hosts: list[Host]) -> bool:
    """Waits until all hosts are ready; returns whether they are in time."""
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            for host in hosts:
                while not await host.is_ready():
                    await asyncio.sleep(READY_INTERVAL_S)
    except TimeoutError:
        return False
    return True
