"""The settings of a proxy process: one INI file, section [proxy]."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING, Annotated, Any, Literal

import pydantic

from fescueshunt import errors
from fescueshunt_wire import ini, sections

if TYPE_CHECKING:
    import pathlib

SECTION = "proxy"
MAX_PORT = 65535
Name = Annotated[
    str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]*$", max_length=64)
]


def _check_address(value: str) -> str:
    host, separator, port = value.rpartition(":")
    if not separator or not port.isdecimal() or int(port) > MAX_PORT:
        raise ValueError("expected IP number:port")
    ipaddress.ip_address(host)
    return value


Address = Annotated[str, pydantic.AfterValidator(_check_address)]


class ProxySettings(pydantic.BaseModel):
    """What a proxy process must know before it knows anything else.

    Attributes:
      name: unique in the fleet.
      zone: the availability zone of this host.
      callers: where callers connect; port 0 takes a free one.
      peers: where other proxies connect.
      platform: the platform's store and host list.
      admin: where operators connect; empty for nowhere.
      tokens_file: the file with the operators' tokens; empty for no operator.
      seeds: addresses of other proxies' `peers`, for a start while the host
        list can't be read.
      tick_ms: milliseconds between two ticks.
      trace_file: where spans go, as JSON lines; empty for nowhere.
      trace_share: the share of requests that are traced.
      record_file: where every item at the mouth of the core goes, as JSON
        lines that a replay reads; empty for nowhere.
      pools: one home for each upstream, or pools split between all proxies.
      queues: by rank, or first in, first out.
      reads: on the nearest replica, or on the primary only.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)
    name: Name
    zone: Name
    callers: Address
    peers: Address
    platform: Address
    admin: Address | Literal[""] = ""
    tokens_file: str = ""
    seeds: tuple[Address, ...] = ()
    tick_ms: float = pydantic.Field(20.0, ge=1, le=1000)
    trace_file: str = ""
    trace_share: float = pydantic.Field(0.01, ge=0, le=1)
    record_file: str = ""
    pools: Literal["one", "split"] = "one"
    queues: Literal["ranked", "fifo"] = "ranked"
    reads: Literal["nearest", "primary"] = "nearest"


def load(path: pathlib.Path) -> ProxySettings:
    """Returns the settings in the INI file at `path`.

    Raises:
      InvalidSettingsError: with every invalid setting at once.
    """
    found = sections.read_sections(path)
    problems = [
        errors.SettingProblem(
            str(path), name, "", "", f"expected only [{SECTION}]"
        )
        for name in found
        if name != SECTION
    ]
    values: dict[str, Any] = dict(found.get(SECTION, {}))
    if "seeds" in values:
        values["seeds"] = sections.split_list(values["seeds"])
    cfg, invalid = ini.validate(ProxySettings, str(path), SECTION, values)
    if cfg is None or problems:
        raise errors.InvalidSettingsError(problems + invalid)
    return cfg
