"""The settings file that the platform writes for a process."""

from __future__ import annotations

import os
import pathlib
from typing import Annotated

import msgspec

from fescueshunt import errors
from fescueshunt_proxy._internal.hosted import ports
from fescueshunt_proxy.platform import documents
from fescueshunt_wire import structs

VARIABLE = "FESCUESHUNT_BOOT"


class _Listen(msgspec.Struct, frozen=True):
    front: documents.Address
    ready: documents.Address


class _Called(msgspec.Struct, frozen=True):
    address: documents.Address


class _Bounds(msgspec.Struct, frozen=True):
    grace_s: Annotated[float, msgspec.Meta(gt=0)]


class Boot(msgspec.Struct, frozen=True):
    """The fields that this program needs; others are ignored.

    Attributes:
      node_name: this host's name.
      listen: `front` is where clients connect, `ready` where the balancer asks.
      platform: the platform's store.
      cloud_api: where promotions are ordered.
      ip: this host's address, without a port.
    """

    node_name: documents.Name
    zone: documents.Name
    listen: _Listen
    platform: _Called
    cloud_api: _Called
    bounds: _Bounds
    ip: str = ""


def path() -> pathlib.Path | None:
    """Returns where the file is, None if this process was told no place."""
    named = os.environ.get(VARIABLE)
    return pathlib.Path(named) if named else None


def load(file: pathlib.Path) -> ports.HostSettings:
    """Returns the settings in `file`.

    Raises:
      InvalidSettingsError: with every problem at once.
    """
    try:
        raw = documents.decode(dict[str, object], file.read_bytes())
    except (OSError, errors.DocumentUnreadableError) as exc:
        problem = errors.SettingProblem(str(file), "", "", "", str(exc))
        raise errors.InvalidSettingsError([problem]) from exc
    boot = structs.convert(Boot, raw, str(file))
    return ports.HostSettings(
        name=boot.node_name,
        zone=boot.zone,
        sessions=boot.listen.front,
        readiness=boot.listen.ready,
        store=boot.platform.address,
        promotions=boot.cloud_api.address,
        grace_s=boot.bounds.grace_s,
    )
