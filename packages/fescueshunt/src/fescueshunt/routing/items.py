"""Items of the routing pipe."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters

if TYPE_CHECKING:
    from fescueshunt.core import routes


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesRead(filters.Item):
    """The operator's document was read, by a watch or a plain read."""

    view: routes.RoutesView


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesUnreadable(filters.Item):
    """The operator's document can't be read; what is in force stays."""

    problem: str
