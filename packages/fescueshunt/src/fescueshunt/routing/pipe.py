"""Assembles the routing pipe from its filters."""

from __future__ import annotations

from fescueshunt.core import filters, routes, session_items
from fescueshunt.routing import adopt, items

ACCEPTS = (items.RoutesRead, items.RoutesUnreadable)

EMITS = (
    routes.RoutesView,
    session_items.LogDecision,
)


def build() -> filters.Pipe:
    """Returns the routing pipe of a host."""
    stages = (adopt.RoutesUpdater(),)
    return filters.Pipe(stages, ACCEPTS, EMITS)
