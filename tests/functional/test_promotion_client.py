"""Tests when a call for a promotion is sent, and what its answer means."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from fescueshunt import errors
from fescueshunt.core import filters, store_items
from fescueshunt_proxy._internal import runtime
from fescueshunt_proxy._internal.hosted import measures, store_client
from fescueshunt_proxy.platform import promotions
from fescueshunt_standins import fleet as fleets
from fescueshunt_wire import http

WAIT_S = 5.0
LATE_S = 0.1
OK = 200
REFUSED = 409
UNAVAILABLE = 503


class _Caller(filters.Filter):
    """Calls for a promotion at the first tick and keeps the result."""

    def __init__(self, call: store_items.CallPromotion) -> None:
        self.result: store_items.PromotionCompleted | None = None
        self._call = call

    def process(self, item):
        if isinstance(item, filters.Tick):
            yield self._call
        else:
            self.result = item


ACCEPTS = (filters.Tick, store_items.PromotionCompleted)


def _promote(status: int, send_before_s: float) -> tuple[bool | None, int]:
    """Returns the result of a call and the number of requests that arrived."""
    requests: list[http.Request] = []

    async def respond(request: http.Request) -> http.Response:
        requests.append(request)
        return http.Response(status, b"{}")

    async def run() -> bool | None:
        address = fleets.free_address()
        now = asyncio.get_running_loop().time()
        call = store_items.CallPromotion(
            now, "db", "u1", "h0", 7, now + send_before_s
        )
        caller = _Caller(call)
        core_runtime = runtime.Runtime(
            filters.Core((filters.Pipe((caller,), ACCEPTS),))
        )
        async with (
            asyncio.timeout(WAIT_S),
            http.serve(address, respond),
            contextlib.AsyncExitStack() as stack,
            asyncio.TaskGroup() as tasks,
        ):
            client = stack.enter_context(promotions.connected(address))
            store_client.StoreCallExecutor(
                core_runtime,
                None,
                client,
                tasks,
                measures.HostMetrics(core_runtime),
            )
            core_runtime.feed(filters.Tick(now, 0.0))
        return caller.result.done

    return asyncio.run(run()), len(requests)


# Guards against a call that a holder sends after it stood still, when another
# holder may have promoted a different upstream.
def test_call_is_not_sent_after_its_time():
    assert _promote(OK, -LATE_S) == (False, 0)


# Guards against a promotion that takes effect though it counts as refused.
@pytest.mark.parametrize(
    ("status", "done"), [(OK, True), (REFUSED, False), (UNAVAILABLE, None)]
)
def test_only_a_refusal_counts_as_one(status, done):
    assert _promote(status, WAIT_S) == (done, 1)


def test_connection_is_used_again_after_a_call_that_was_not_sent():
    async def run() -> int:
        address = fleets.free_address()

        async def respond(request: http.Request) -> http.Response:
            return http.Response(OK, b"")

        async with http.serve(address, respond):
            with http.open_client(address) as client:
                with pytest.raises(errors.CallNotSentError):
                    await client.call(
                        "POST", "/", WAIT_S, may_send=lambda: False
                    )
                return (await client.call("POST", "/", WAIT_S)).status

    assert asyncio.run(run()) == OK
