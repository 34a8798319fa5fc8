"""A proxy of a simulated fleet: its core, and the items fed to it."""

from __future__ import annotations

import dataclasses
import pathlib
from collections.abc import Callable

from fescueshunt.core import filters, identity
from fescueshunt_wire import records


@dataclasses.dataclass(slots=True)
class Proxy:
    """A simulated proxy.

    Attributes:
      proxy_identity: the identity of this start of the proxy.
      core: the decision logic under test.
      stopped: whether the core has reported that it may exit.
      paused_until: the virtual time until which items are held back, seconds.
      recorded_items: the items fed to the core, in order.
    """

    proxy_identity: identity.Identity
    core: filters.Core
    stopped: bool = False
    paused_until: float = 0.0
    recorded_items: list[filters.Item] = dataclasses.field(default_factory=list)

    def write_trace(self, path: pathlib.Path) -> None:
        """Writes the items fed to the core to `path`, as a trace to replay."""
        lines = [
            records.to_line(i)
            for i in (self.proxy_identity, *self.recorded_items)
        ]
        path.write_text("\n".join(lines) + "\n")


Feed = Callable[[Proxy, filters.Item], None]
