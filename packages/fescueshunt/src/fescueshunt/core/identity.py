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
    """

    name: str
    zone: str
    address: str
    incarnation: int = 1
