"""HTTP client of the platform's promotion service."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import msgspec

from fescueshunt import errors
from fescueshunt_proxy._internal.hosted import ports
from fescueshunt_proxy.platform import store_messages
from fescueshunt_wire import http

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

CALL_TIMEOUT_S = 0.8
OK = 200


class HttpPromotionClient(ports.PromotionClient):
    """Requests promotions, with the holder and its fencing token in headers."""

    def __init__(self, client: http.Client) -> None:
        self._client = client

    async def promote(
        self,
        database: str,
        upstream: str,
        holder: str,
        token: int,
        may_send: Callable[[], bool],
    ) -> str:
        """Promotes an upstream; returns "" on success, else the HTTP status.

        The outcome of a call that failed in the service is unknown.
        """
        body = msgspec.json.encode(
            store_messages.PromotionRequest(database, upstream)
        )
        headers = {"Duty-Holder": holder, "Fencing-Token": str(token)}
        response = await self._client.call(
            "POST", "/promotion", CALL_TIMEOUT_S, body, headers, may_send
        )
        if response.status >= http.INTERNAL_SERVER_ERROR:
            raise errors.ConnectionLostError(f"status {response.status}")
        return "" if response.status == OK else f"status {response.status}"


@contextlib.contextmanager
def connected(address: str) -> Iterator[HttpPromotionClient]:
    """Yields a client; closes its connections when the context exits."""
    with http.open_client(address) as client:
        yield HttpPromotionClient(client)
