"""The routes that clients of hosts use in tests."""

from __future__ import annotations

from fescueshunt.core import routes

DATABASE = "db"


def route(
    name: str, kind: routes.Consistency, max_age_s: float = 0.0
) -> routes.Route:
    return routes.Route(name, DATABASE, kind, 1.0, 0.2, 0, max_age_s)


ROUTES = {
    "strict": route("strict", routes.Consistency.PRIMARY),
    "aged": route("aged", routes.Consistency.BOUNDED, 1.0),
    "own": route("own", routes.Consistency.OWN_WRITES, 1.0),
}


def offered(now: float) -> routes.RoutesView:
    """Returns the operator's document."""
    policy = routes.ReplicaSetPolicy(DATABASE, 30, 1)
    return routes.RoutesView(now, 1, ROUTES, {DATABASE: policy}, 3.0)
