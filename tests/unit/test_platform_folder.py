"""Checks that only the adapter uses the names of the platform."""

from __future__ import annotations

import pathlib
import re

import pytest

PACKAGES = pathlib.Path(__file__).resolve().parents[2] / "packages"
ADAPTER = "fescueshunt_proxy/platform"
# The stand-ins implement the platform's protocols.
STAND_INS = "fescueshunt_standins/hosted"
PLATFORM_NAMES = (
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


def _find_sources() -> list[pathlib.Path]:
    return [
        path
        for path in sorted(PACKAGES.rglob("*.py"))
        if ADAPTER not in path.as_posix() and STAND_INS not in path.as_posix()
    ]


@pytest.mark.parametrize("name", PLATFORM_NAMES)
def test_platform_name_is_used_in_the_adapter_only(name: str):
    end_boundary = "(?![A-Za-z_])" if name[-1].isalpha() else ""
    pattern = re.compile(rf"(?<![A-Za-z_]){re.escape(name)}{end_boundary}")
    other_files = [
        path.name
        for path in _find_sources()
        if pattern.search(path.read_text())
    ]
    assert other_files == []
    adapter = PACKAGES / "fescueshunt-proxy/src" / ADAPTER
    assert any(
        pattern.search(path.read_text()) for path in adapter.glob("*.py")
    )
