"""Settings of a proxy process, from the section [proxy] of an INI file."""

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
        raise ValueError("expected IP address:port")
    ipaddress.ip_address(host)
    return value


Address = Annotated[str, pydantic.AfterValidator(_check_address)]


class ProxySettings(pydantic.BaseModel):
    """The settings of one proxy process, which it reads when it starts.

    Attributes:
      name: the name of the proxy, unique in the fleet.
      zone: the availability zone of the proxy's host.
      callers: the address that callers connect to; port 0 selects a free port.
      peers: the address that other proxies connect to.
      platform: the address of the platform's store and host list.
      admin: the address that operators connect to; empty to disable the
        admin listener.
      tokens_file: the path of the file with the operators' tokens; empty if
        there are no operators.
      seeds: the `peers` addresses of other proxies, for starting while the
        host list can't be read.
      tick_ms: the interval between ticks, in milliseconds.
      trace_file: the path of the file for spans, as JSON lines; empty to
        disable tracing.
      trace_share: the share of requests that are traced, from 0 to 1.
      record_file: the path of the file for all items that enter the core, as
        JSON lines for replay; empty to disable recording.
      pools: `one` home proxy for each upstream, or connection pools `split`
        between all proxies.
      queues: `ranked` for order by rank, or `fifo` for first in, first out.
      reads: reads on the `nearest` replica, or on the `primary` only.
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
      InvalidSettingsError: if the file is invalid; lists all invalid settings.
    """
    file_sections = sections.read_sections(path)
    problems = [
        errors.SettingProblem(
            str(path),
            name,
            "",
            "",
            f"unknown section; expected only [{SECTION}]",
        )
        for name in file_sections
        if name != SECTION
    ]
    values: dict[str, Any] = dict(file_sections.get(SECTION, {}))
    if "seeds" in values:
        values["seeds"] = sections.split_list(values["seeds"])
    cfg, invalid = ini.validate(ProxySettings, str(path), SECTION, values)
    if cfg is None or problems:
        raise errors.InvalidSettingsError(problems + invalid)
    return cfg
