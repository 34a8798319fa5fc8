"""Reader of the settings file that the platform writes for a host."""

from __future__ import annotations

import os
import pathlib
from typing import Annotated

import msgspec

from fescueshunt import errors
from fescueshunt.core import quotas
from fescueshunt_proxy._internal.hosted import ports
from fescueshunt_proxy.platform import decoding, documents
from fescueshunt_wire import structs

BYTES_PER_MB = 1_000_000
BOOT_FILE_VARIABLE = "FESCUESHUNT_BOOT"


class _ListenAddresses(msgspec.Struct, frozen=True):
    front: documents.Address
    ready: documents.Address


class _Endpoint(msgspec.Struct, frozen=True):
    address: documents.Address


class _Bounds(msgspec.Struct, frozen=True):
    grace_s: Annotated[float, msgspec.Meta(gt=0)]
    quota_window_s: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    quota_overage: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    quota_slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class _Limits(msgspec.Struct, frozen=True):
    cpu_share: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    cores: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    memory_mb: Annotated[float, msgspec.Meta(ge=0)] = 0
    max_fds: Annotated[int, msgspec.Meta(ge=0)] = 0


class BootSettings(msgspec.Struct, frozen=True):
    """The fields of the file that this program uses; others are ignored.

    Attributes:
      node_name: name of this host.
      listen: `front` is the address for clients, `ready` the address for the
        load balancer's readiness checks.
      platform: address of the platform's store.
      cloud_api: address of the promotion service.
      ip: IP address of this host, without a port.
      internal_ports: the first and the last port for links between hosts.
      limits: what the process may use of the machine.
    """

    node_name: documents.Name
    zone: documents.Name
    listen: _ListenAddresses
    platform: _Endpoint
    cloud_api: _Endpoint
    bounds: _Bounds
    ip: str = ""
    internal_ports: tuple[documents.Port, documents.Port] | None = None
    limits: _Limits = _Limits()


def find_file() -> pathlib.Path | None:
    """Returns the settings file named in the environment, or None."""
    file_name = os.environ.get(BOOT_FILE_VARIABLE)
    return pathlib.Path(file_name) if file_name else None


def load(file: pathlib.Path) -> ports.HostSettings:
    """Returns the host settings in `file`.

    Raises:
      InvalidSettingsError: lists all problems of the file.
    """
    try:
        raw = decoding.decode(dict[str, object], file.read_bytes())
    except (OSError, errors.DocumentUnreadableError) as exc:
        problem = errors.SettingProblem(str(file), "", "", "", str(exc))
        raise errors.InvalidSettingsError([problem]) from exc
    boot_settings = structs.convert(BootSettings, raw, str(file))
    return ports.HostSettings(
        name=boot_settings.node_name,
        zone=boot_settings.zone,
        session_address=boot_settings.listen.front,
        readiness_address=boot_settings.listen.ready,
        store_address=boot_settings.platform.address,
        promotion_address=boot_settings.cloud_api.address,
        grace_s=boot_settings.bounds.grace_s,
        peer_address=_peer_address(boot_settings),
        cores=boot_settings.limits.cpu_share * boot_settings.limits.cores,
        memory_bytes=int(boot_settings.limits.memory_mb * BYTES_PER_MB),
        max_descriptors=boot_settings.limits.max_fds,
        quota_bound=quotas.Bound(
            boot_settings.bounds.quota_window_s,
            boot_settings.bounds.quota_overage,
            boot_settings.bounds.quota_slack,
        ),
    )


def _peer_address(boot_settings: BootSettings) -> str:
    """Returns where this host accepts links of other hosts, or ""."""
    if boot_settings.internal_ports is None:
        return ""
    host, _, _ = boot_settings.listen.front.rpartition(":")
    return f"{boot_settings.ip or host}:{boot_settings.internal_ports[0]}"
