"""The platform's names stand in its adapter and nowhere else."""

from __future__ import annotations

import pathlib
import re

import pytest

PACKAGES = pathlib.Path(__file__).resolve().parents[2] / "packages"
ADAPTER = "fescueshunt_proxy/platform"
# Stand-ins speak the platform's protocols themselves.
STAND_INS = "fescueshunt_standins/hosted"
NAMES = (
    "kv-",
    "op/config",
    "servers/",
    "FESCUESHUNT_BOOT",
    "/readiness",
    "/promotion",
    "Fencing-Token",
    "Duty-Holder",
    "STEPDOWN",
    "MISROUTED",
    "CONNLIMIT",
    "INDOUBT",
    "NOSTMT",
    "NODB",
    "DEALLOC",
    "TERMINATE",
    "lease_id",
    "as_of",
    "db_name",
    "db_role",
    "route_type",
    "max_staleness_ms",
    "target_latency_ms",
    "bounded_staleness",
    "node_name",
    "cloud_api",
)


def _sources() -> list[pathlib.Path]:
    return [
        path
        for path in sorted(PACKAGES.rglob("*.py"))
        if ADAPTER not in path.as_posix() and STAND_INS not in path.as_posix()
    ]


@pytest.mark.parametrize("name", NAMES)
def test_name_stands_in_the_adapter_only(name: str):
    end = "(?![A-Za-z_])" if name[-1].isalpha() else ""
    pattern = re.compile(rf"(?<![A-Za-z_]){re.escape(name)}{end}")
    found = [
        path.name for path in _sources() if pattern.search(path.read_text())
    ]
    assert found == []
    adapter = PACKAGES / "fescueshunt-proxy/src" / ADAPTER
    assert any(
        pattern.search(path.read_text()) for path in adapter.glob("*.py")
    )
