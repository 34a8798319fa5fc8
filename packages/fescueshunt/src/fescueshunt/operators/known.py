"""What the operators pipe knows: the newest views of the other pipes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import document, views

if TYPE_CHECKING:
    from fescueshunt.core import identity


@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """The revision that a proxy told, and when; local clock, seconds."""

    revision: int
    at: float


@dataclasses.dataclass(slots=True)
class Known:
    """The newest views, and the revisions that peers told."""

    me: identity.Identity
    document: document.Document = document.Document()
    fleet: views.FleetView = views.FleetView(0.0, ())
    groups: dict[str, views.GroupView] = dataclasses.field(default_factory=dict)
    heard: dict[str, Heard] = dataclasses.field(default_factory=dict)
