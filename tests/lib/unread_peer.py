"""A peer that accepts a connection and reads from it only when told to."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

TIMEOUT_S = 5.0
RECEIVE_BUFFER_BYTES = 4 * 1024
READ_BYTES = 1 << 16


@contextlib.contextmanager
def listening() -> Iterator[tuple[socket.socket, str]]:
    """Yields a listener and its address.

    The kernel receives little on its connections before they are read.
    """
    with socket.socket() as listener:
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.settimeout(TIMEOUT_S)
        host, port = listener.getsockname()
        yield listener, f"{host}:{port}"


def accept(listener: socket.socket) -> socket.socket:
    """Accepts a connection."""
    conn, _ = listener.accept()
    conn.settimeout(TIMEOUT_S)
    return conn


def read_to_end(conn: socket.socket) -> tuple[bytes, bool]:
    """Returns what can be read, and whether the sender reset the connection.

    Reading ends when nothing more arrives for `TIMEOUT_S`, too.
    """
    data = b""
    try:
        while chunk := conn.recv(READ_BYTES):
            data += chunk
    except ConnectionResetError:
        return data, True
    except TimeoutError:
        return data, False
    return data, False
