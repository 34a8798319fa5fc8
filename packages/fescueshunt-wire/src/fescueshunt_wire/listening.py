"""Listening sockets that accept one connection in each turn of the loop.

asyncio takes a server's backlog also as the number of connections to accept in
one turn of the event loop. If it has no file descriptor left, it tries all of
them in vain, and plans a retry for each. The retries multiply until the loop
does nothing else. A server with a backlog of one plans a single retry, and lets
its connections be served before it accepts more of them.
"""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

# How many connections the kernel completes before they are accepted.
BACKLOG = 1024
ACCEPTS_PER_TURN = 1


@contextlib.contextmanager
def bound_socket(address: str) -> Iterator[socket.socket]:
    """Yields a socket that is bound to `address`, an IP address and port.

    Pass it to asyncio with a backlog of `ACCEPTS_PER_TURN`, and then to
    `widen_backlog`.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, int(port)))
        yield sock


def widen_backlog(sock: socket.socket) -> None:
    """Lets `BACKLOG` connections wait to be accepted."""
    sock.listen(BACKLOG)


def accept_last(sock: socket.socket) -> Iterator[socket.socket]:
    """Yields the connections that wait to be accepted, without blocking.

    The socket is to be closed afterwards, which resets each connection that was
    completed in between. So at most one may be completed from now on, however
    long the process stands still before the close.
    """
    sock.listen(0)
    while True:
        try:
            accepted, _ = sock.accept()
        except ConnectionAbortedError:
            continue
        except OSError:
            return
        accepted.setblocking(False)
        yield accepted
