"""The routes and the replica set policy that tests of hosts use."""

from __future__ import annotations

from fescueshunt.core import routes

DATABASE = "db"
MAX_CONNECTIONS = 30


def make_route(
    name: str, consistency: routes.Consistency, max_age_s: float = 0.0
) -> routes.Route:
    return routes.Route(name, DATABASE, consistency, 1.0, 0.2, 0, max_age_s)


ROUTES = {
    "strict": make_route("strict", routes.Consistency.PRIMARY),
    "aged": make_route("aged", routes.Consistency.BOUNDED, 1.0),
    "own": make_route("own", routes.Consistency.OWN_WRITES, 1.0),
}


def routes_view(now: float) -> routes.RoutesView:
    """Returns a view of the routes in force."""
    policy = routes.ReplicaSetPolicy(DATABASE, MAX_CONNECTIONS, 1)
    return routes.RoutesView(now, 1, ROUTES, {DATABASE: policy}, 3.0)
