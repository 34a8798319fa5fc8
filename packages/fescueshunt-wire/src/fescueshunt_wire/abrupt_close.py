"""Closing TCP connections without delivering what is still buffered.

By default, the kernel goes on delivering the bytes that it has buffered when a
connection is closed, even if the process has ended. A reset drops them.
"""

from __future__ import annotations

import contextlib
import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

# The fields of `struct linger`: whether it is on, and its time in seconds.
_LINGER_ZERO = struct.pack("ii", 1, 0)
_LINGER_OFF = struct.pack("ii", 0, 0)


def set_reset_on_close(transport: asyncio.BaseTransport, enabled: bool) -> None:
    """Sets whether the connection is reset when it is closed.

    This also applies when the process ends. Does nothing if the connection has
    already ended. A transport flushes its own buffer before a close, so call
    its `abort` to close it.
    """
    sock = transport.get_extra_info("socket")
    value = _LINGER_ZERO if enabled else _LINGER_OFF
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)


def set_delivery_timeout(
    transport: asyncio.BaseTransport, timeout_ms: int
) -> None:
    """Limits how long the kernel tries to deliver bytes.

    The connection ends once bytes are unacknowledged for `timeout_ms`, even
    while the process is suspended. Does nothing on a platform without this
    option, or if the connection has already ended.
    """
    if not hasattr(socket, "TCP_USER_TIMEOUT"):
        return
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
