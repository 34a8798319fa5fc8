"""Assembles the routing pipe from its filters."""

from __future__ import annotations

from fescueshunt.core import filters
from fescueshunt.routing import adopt, items

ACCEPTS = (items.RoutesRead, items.RoutesUnreadable)


def build() -> filters.Pipe:
    """Returns the routing pipe of a host."""
    stages = (adopt.RoutesUpdater(),)
    return filters.Pipe(stages, ACCEPTS)
