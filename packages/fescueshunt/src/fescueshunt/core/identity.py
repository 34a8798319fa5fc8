"""The identity of a proxy process."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """The identity of a proxy.

    Attributes:
      name: the name of the proxy, from its settings.
      zone: the availability zone of the proxy, from its settings.
      address: the address of the proxy, from its settings.
      incarnation: a number derived from the wall clock at start; each restart
        has a higher one.
      peer_address: where it accepts links of other hosts; "" if it doesn't.
      cores: the processor time that it may use, in cores.
    """

    name: str
    zone: str
    address: str
    incarnation: int = 1
    peer_address: str = ""
    cores: float = 1.0
