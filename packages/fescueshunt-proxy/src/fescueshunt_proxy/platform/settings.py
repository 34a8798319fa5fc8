"""The settings file that the platform writes for a process."""

from __future__ import annotations

import os
import pathlib
from typing import Annotated

import pydantic

from fescueshunt_proxy._internal.hosted import ports
from fescueshunt_wire import ini

VARIABLE = "FESCUESHUNT_BOOT"
Address = Annotated[str, pydantic.Field(pattern=r"^[0-9.]+:[0-9]{1,5}$")]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class _Listen(_Model):
    front: Address
    ready: Address


class _Called(_Model):
    address: Address


class _Bounds(_Model):
    grace_s: float = pydantic.Field(gt=0)


class Boot(_Model):
    """The fields that this program needs; others are ignored.

    Attributes:
      node_name: this host's name.
      listen: `front` is where clients connect, `ready` where the balancer asks.
      platform: the platform's store.
      cloud_api: where promotions are ordered.
    """

    node_name: str = pydantic.Field(min_length=1)
    zone: str = pydantic.Field(min_length=1)
    listen: _Listen
    platform: _Called
    cloud_api: _Called
    bounds: _Bounds


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
        boot = Boot.model_validate_json(file.read_bytes())
    except OSError as exc:
        problem = ini.Problem(str(file), "", "", "", str(exc))
        raise ini.InvalidSettingsError([problem]) from exc
    except pydantic.ValidationError as exc:
        problems = [
            ini.Problem(
                str(file),
                "",
                ".".join(map(str, error["loc"])),
                "",
                error["msg"],
            )
            for error in exc.errors()
        ]
        raise ini.InvalidSettingsError(problems) from exc
    return ports.HostSettings(
        name=boot.node_name,
        zone=boot.zone,
        sessions=boot.listen.front,
        readiness=boot.listen.ready,
        store=boot.platform.address,
        promotions=boot.cloud_api.address,
        grace_s=boot.bounds.grace_s,
    )
