"""Home proxies: who holds the pool and the queue of an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import document, rendezvous, views

if TYPE_CHECKING:
    from collections.abc import Iterable

MIN_WATCHERS = 3
CANDIDATE_STATES = frozenset(
    {views.MemberState.LIVE, views.MemberState.SUSPECT}
)


def home_of(
    database: str, upstream: document.Upstream, fleet: views.FleetView
) -> str:
    """Returns the name of the proxy that is home to `upstream`.

    It is one of the live proxies of the upstream's zone; where that has none,
    one of the live proxies of all zones. "" where the fleet is empty.
    """
    live = [m for m in fleet.members if m.state in CANDIDATE_STATES]
    near = [m.name for m in live if m.zone == upstream.zone]
    names = near or [m.name for m in live]
    ordered = rendezvous.rank(f"{database}/{upstream.name}", names)
    return ordered[0] if ordered else ""


def watchers(
    database: document.Database, fleet: views.FleetView
) -> tuple[str, ...]:
    """Returns the proxies that watch `database`, by name.

    They are the homes of its upstreams. Where these are fewer than
    MIN_WATCHERS, other live proxies join them, so that no single proxy's word
    is enough to find a primary failing.
    """
    homes = {home_of(database.name, u, fleet) for u in database.upstreams}
    homes.discard("")
    others = [
        member.name
        for member in fleet.members
        if member.state in CANDIDATE_STATES and member.name not in homes
    ]
    missing = max(MIN_WATCHERS - len(homes), 0)
    joining = rendezvous.rank(database.name, others)[:missing]
    return tuple(sorted(homes.union(joining)))


def watched(
    databases: Iterable[document.Database],
    fleet: views.FleetView,
    name: str,
) -> list[document.Database]:
    """Returns the databases that the proxy `name` watches."""
    return [d for d in databases if name in watchers(d, fleet)]
