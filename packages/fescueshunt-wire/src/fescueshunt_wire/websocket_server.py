"""A WebSocket server that accepts one connection in each turn of the loop."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

from websockets.asyncio import server

from fescueshunt_wire import listening

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable


@contextlib.asynccontextmanager
async def serving(
    address: str,
    handle: Callable[[server.ServerConnection], Awaitable[None]],
    options: dict[str, Any],
) -> AsyncIterator[server.Server]:
    """Passes each connection to `handle` until the context exits.

    Args:
      address: an IP address and port; port 0 for any free one.
      handle: serves a connection.
      options: further options of `websockets.asyncio.server.serve`.

    Raises:
      OSError: if the address can't be used.
    """
    with listening.bound_socket(address) as sock:
        async with server.serve(
            handle, sock=sock, backlog=listening.ACCEPTS_PER_TURN, **options
        ) as listener:
            listening.widen_backlog(sock)
            yield listener
