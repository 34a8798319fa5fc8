"""HTTP endpoint for the load balancer's readiness check of this host."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from fescueshunt_proxy._internal.hosted import ports
from fescueshunt_wire import http

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

TARGET = "/readiness"


class HttpReadinessEndpoint(ports.ReadinessEndpoint):
    """Responds with status 200 if this host is ready, else with 503."""

    @contextlib.asynccontextmanager
    async def serving(
        self, address: str, is_ready: Callable[[], bool]
    ) -> AsyncIterator[None]:
        """Serves the endpoint until the context manager exits."""

        async def respond(request: http.Request) -> http.Response:
            path = request.target.partition("?")[0]
            if request.method != "GET" or path != TARGET:
                return http.Response(404, b"")
            return http.Response(200 if is_ready() else 503, b"")

        async with http.serve(address, respond):
            yield
