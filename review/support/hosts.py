"""Starts hosts as the deploy file does, with settings of a small deployment."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import tomllib
import urllib.error
import urllib.request
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = pathlib.Path(__file__).resolve().parents[2]
GRACE_S = 6
STOP_TIMEOUT_S = 8.0


def free_port() -> int:
    """Returns a port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Host:
    """A host process and its addresses."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.front = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        self.popen: subprocess.Popen[bytes] | None = None

    def is_ready(self) -> bool:
        """Returns whether the host answers the readiness check with 200."""
        try:
            url = f"http://{self.ready}/readiness"
            with urllib.request.urlopen(url, timeout=1) as response:
                return response.status == 200
        except (OSError, urllib.error.URLError):
            return False


@contextlib.contextmanager
def running(
    host: Host, folder: pathlib.Path, store: str, cloud_api: str
) -> Iterator[Host]:
    """Runs a host and ends it on exit.

    Args:
      host: the host to run.
      folder: a temporary folder for its settings and its log.
      store: the address of the platform's store for this host.
      cloud_api: the address of the promotion service for this host.
    """
    boot = folder / f"{host.name}.json"
    boot.write_text(json.dumps(_settings(host, store, cloud_api)))
    ini = folder / f"{host.name}.ini"
    ini.write_text(f"[host]\nmetrics_port = {free_port()}\n")
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    words = deploy["roles"]["proxy"]["run"].split()
    words[words.index("--settings") + 1] = str(ini)
    env = {
        name: os.environ[name]
        for name in ("PATH", "HOME")
        if name in os.environ
    }
    env["FESCUESHUNT_BOOT"] = str(boot)
    env["PYTHONPATH"] = str(ROOT / "target/deps")
    with (folder / f"{host.name}.log").open("wb") as log:
        host.popen = subprocess.Popen(
            words, cwd=ROOT, env=env, stdout=log, stderr=subprocess.STDOUT
        )
        try:
            yield host
        finally:
            host.popen.send_signal(signal.SIGTERM)
            try:
                host.popen.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                host.popen.kill()
                host.popen.wait()


def _settings(host: Host, store: str, cloud_api: str) -> dict[str, object]:
    return {
        "node_name": host.name,
        "role": "proxy",
        "machine_class": "edge",
        "serves": ["edge"],
        "ip": "127.0.0.1",
        "zone": "z",
        "region": "r",
        "zones": {"z": "r"},
        "listen": {"front": host.front, "ready": host.ready},
        "bootstrap": True,
        "limits": {"memory_mb": 300, "max_fds": 4200},
        "discovery": "platform",
        "entry": "vip",
        "heartbeat_ms": 1200,
        "bounds": {
            "stable_ms": 4000,
            "drain_ms": 7000,
            "grace_s": GRACE_S,
            "fencing_enforced": False,
        },
        "platform": {
            "address": store,
            "form": "kv",
            "writes_per_s": 400,
            "reads_per_s": 2000,
            "history_s": 20,
            "max_value_bytes": 1048576,
            "min_ttl_ms": 1000,
        },
        "cloud_api": {
            "address": cloud_api,
            "rate_per_s": 50.0,
            "duties": ["failover"],
            "duty_per_s": 50.0,
        },
    }
