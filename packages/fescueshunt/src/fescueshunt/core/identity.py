"""Who this process is."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """A proxy's name, zone and address, from its settings.

    `incarnation` is higher at each start, from the wall clock.
    """

    name: str
    zone: str
    address: str
    incarnation: int = 1
