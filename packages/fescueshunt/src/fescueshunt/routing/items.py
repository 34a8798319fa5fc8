"""Items of the routing pipe."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters

if TYPE_CHECKING:
    from fescueshunt.core import routes


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesRead(filters.Item):
    """The operator's document was read, by a watch or a single read.

    Attributes:
      view: the routes in the document.
    """

    view: routes.RoutesView


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesUnreadable(filters.Item):
    """The operator's document cannot be read; the current routes remain.

    Attributes:
      problem: a description of what is wrong with the document.
    """

    problem: str
