"""Opens and accepts links between hosts, loading the libraries on first use."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from fescueshunt_proxy._internal.hosted import ports

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from fescueshunt_wire import host_links


class WebSocketPeers(ports.PeerTransport):
    """Links over WebSocket.

    Args:
      own_name: the name of this host.
      address: where this host accepts links, as `IP:PORT`.
    """

    def __init__(self, own_name: str, address: str) -> None:
        self._own_name = own_name
        self._address = address

    async def listen(
        self, serve: Callable[[host_links.Link], Awaitable[None]]
    ) -> None:
        """Passes each link of another host to `serve`, until cancelled."""
        from fescueshunt_wire import host_links

        await host_links.listen(self._address, serve)

    @contextlib.asynccontextmanager
    async def connect(self, address: str) -> AsyncIterator[host_links.Link]:
        """Opens a link to the host at `address`; ends it at once on exit."""
        from fescueshunt_wire import host_links

        async with host_links.connect(address, self._own_name) as link:
            yield link
