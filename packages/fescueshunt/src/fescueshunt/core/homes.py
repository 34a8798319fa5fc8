"""Home proxies: who holds the pool and the queue of an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import document, rendezvous, views

if TYPE_CHECKING:
    from collections.abc import Iterable


def home_of(
    database: str, upstream: document.Upstream, fleet: views.FleetView
) -> str:
    """Returns the name of the proxy that is home to `upstream`.

    It is one of the live proxies of the upstream's zone; where that has none,
    one of the live proxies of all zones. "" where no proxy is live. A home
    moves as soon as it is suspected: being home is for efficiency only.
    """
    live = [m for m in fleet.members if m.state is views.MemberState.LIVE]
    near = [m.name for m in live if m.zone == upstream.zone]
    names = near or [m.name for m in live]
    ordered = rendezvous.rank(f"{database}/{upstream.name}", names)
    return ordered[0] if ordered else ""


def hosted(
    databases: Iterable[document.Database],
    fleet: views.FleetView,
    name: str,
) -> list[document.Database]:
    """Returns the databases for whose upstreams `name` is a home."""
    return [
        database
        for database in databases
        if any(
            home_of(database.name, u, fleet) == name for u in database.upstreams
        )
    ]
