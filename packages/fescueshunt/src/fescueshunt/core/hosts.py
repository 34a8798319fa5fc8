"""What a host publishes about itself under its lease."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fescueshunt.core import identity

NO_ADDRESS = "-"
DEFAULT_CORES = 1.0
_FIELD_COUNT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class HostInfo:
    """A live host.

    Attributes:
      name: its name.
      zone: its availability zone.
      peer_address: where it accepts other hosts, as `IP:PORT`, or "".
      cores: the processor time that it may use, in cores.
    """

    name: str
    zone: str = ""
    peer_address: str = ""
    cores: float = DEFAULT_CORES


def info_of(own_identity: identity.Identity) -> HostInfo:
    """Returns what a host publishes about itself."""
    return HostInfo(
        own_identity.name,
        own_identity.zone,
        own_identity.peer_address,
        own_identity.cores,
    )


def format_value(info: HostInfo) -> str:
    """Returns the value that a host's key has in the store."""
    address = info.peer_address or NO_ADDRESS
    return f"{info.zone} {address} {info.cores:g}"


def parse_value(name: str, value: str) -> HostInfo:
    """Returns the host that `value` describes.

    An earlier version wrote the zone alone, and other programs may have written
    anything: such a host has no address for other hosts.
    """
    fields = value.split(" ")
    if len(fields) != _FIELD_COUNT:
        return HostInfo(name, fields[0])
    zone, address, cores_text = fields
    try:
        cores = float(cores_text)
    except ValueError:
        return HostInfo(name, zone)
    if not 0 < cores < float("inf"):
        return HostInfo(name, zone)
    return HostInfo(name, zone, "" if address == NO_ADDRESS else address, cores)
