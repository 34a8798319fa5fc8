"""Tests of the HTTP server for readiness checks and metrics."""

import asyncio

from fescueshunt_standins import fleet as fleets
from fescueshunt_wire import http

TIMEOUT_S = 2.0


# Guards against a scraper whose connection closes without a response because
# the metrics could not be rendered.
def test_failure_to_respond_is_reported_as_internal_server_error():
    async def respond(request: http.Request) -> http.Response:
        raise KeyError(request.target)

    async def run() -> http.Response:
        address = fleets.free_address()
        async with http.serve(address, respond):
            with http.open_client(address) as client:
                return await client.call("GET", "/metrics", TIMEOUT_S)

    assert asyncio.run(run()) == http.Response(500, b"")


# Guards against the end of a host whose name is not ASCII when it sends this
# name in a header to promote an upstream.
def test_header_may_contain_any_name():
    async def respond(request: http.Request) -> http.Response:
        return http.Response(200, request.target.encode())

    async def run() -> http.Response:
        address = fleets.free_address()
        async with http.serve(address, respond):
            headers = {"Holder": "hôte-éù-東"}
            with http.open_client(address) as client:
                return await client.call("GET", "/", TIMEOUT_S, headers=headers)

    assert asyncio.run(run()) == http.Response(200, b"/")
