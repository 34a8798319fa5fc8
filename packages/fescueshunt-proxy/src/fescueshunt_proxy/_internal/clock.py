"""Clock that counts from the host's boot, and periodic ticks for the core."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from fescueshunt.core import filters

if TYPE_CHECKING:
    from fescueshunt_proxy._internal import runtime


def seconds_since_boot() -> float:
    """Returns the seconds since the host booted, including suspended time.

    A lease can expire while its holder is suspended, and the event loop's
    clock does not count that time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def feed_ticks(core_runtime: runtime.Runtime, interval_s: float) -> None:
    """Feeds a tick to the core every `interval_s` seconds until cancelled."""
    while True:
        core_runtime.feed(filters.Tick(core_runtime.now(), time.time()))
        await asyncio.sleep(interval_s)
