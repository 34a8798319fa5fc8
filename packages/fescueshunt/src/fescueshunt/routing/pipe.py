"""Assembly of the routing pipe."""

from __future__ import annotations

from fescueshunt.core import filters
from fescueshunt.routing import adopt, items

ACCEPTS = (items.RoutesRead, items.RoutesUnreadable)


def build() -> filters.Pipe:
    """Builds the routing pipe."""
    stages = (adopt.AdoptRoutes(),)
    return filters.Pipe(stages, ACCEPTS)
