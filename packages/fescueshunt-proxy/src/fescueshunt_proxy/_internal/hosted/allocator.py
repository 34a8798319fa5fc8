"""Lets the C library give freed buffers back to the system at once.

By default, it raises the size from which it maps a buffer of its own to that of
the largest one freed so far. Messages of clients then end up between small
objects, and the process keeps several times the memory that it uses.
"""

from __future__ import annotations

import ctypes

# Parameters of mallopt(3) in the GNU C library.
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
LARGE_BUFFER_BYTES = 128 << 10


def return_large_buffers() -> None:
    """Maps each large buffer by itself; does nothing with other C libraries."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return
    mallopt(_M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES)
    mallopt(_M_TRIM_THRESHOLD, LARGE_BUFFER_BYTES)
