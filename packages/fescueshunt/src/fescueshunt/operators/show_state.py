"""The state from which SHOW statements are answered."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import document, views

if TYPE_CHECKING:
    from fescueshunt.core import identity


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRevision:
    """The settings revision that a peer last reported.

    Attributes:
      revision: the reported revision.
      at: when the report arrived; seconds, local clock.
    """

    revision: int
    at: float


@dataclasses.dataclass(slots=True)
class ShowState:
    """The newest views of the other pipes, and the peers' revisions.

    Attributes:
      local_proxy: this proxy.
      document: the settings in force.
      fleet: the newest fleet view.
      groups: the newest group view of each database, by its name.
      peer_revisions: the revision that each peer last reported, by its name.
    """

    local_proxy: identity.Identity
    document: document.Document = document.Document()
    fleet: views.FleetView = views.FleetView(0.0, ())
    groups: dict[str, views.GroupView] = dataclasses.field(default_factory=dict)
    peer_revisions: dict[str, PeerRevision] = dataclasses.field(
        default_factory=dict
    )
