"""The clock source: ticks."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from fescueshunt.core import filters

if TYPE_CHECKING:
    from fescueshunt_proxy._internal import runtime


def since_boot() -> float:
    """Returns seconds since the host's boot, suspension included.

    A lease runs on while its holder is suspended, which the loop's clock
    doesn't see.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def tick(joined: runtime.Runtime, every_s: float) -> None:
    """Feeds a tick every `every_s` seconds, for ever."""
    while True:
        joined.feed(filters.Tick(joined.now(), time.time()))
        await asyncio.sleep(every_s)
