"""HTTP endpoint that exposes the metrics of this host to scrapers."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from fescueshunt_wire import http

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

TARGET = "/metrics"
OK = 200
NOT_FOUND = 404


@contextlib.asynccontextmanager
async def serving(
    address: str, render: Callable[[], str]
) -> AsyncIterator[None]:
    """Serves metrics within the context; disabled if `address` is empty."""
    if not address:
        yield
        return

    async def respond(request: http.Request) -> http.Response:
        path = request.target.partition("?")[0]
        if request.method != "GET" or path != TARGET:
            return http.Response(NOT_FOUND, b"")
        return http.Response(OK, render().encode())

    async with http.serve(address, respond):
        yield
