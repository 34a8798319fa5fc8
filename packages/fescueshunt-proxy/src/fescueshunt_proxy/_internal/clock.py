"""The clock source: ticks."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from fescueshunt.core import filters

if TYPE_CHECKING:
    from fescueshunt_proxy._internal import runtime


async def tick(joined: runtime.Runtime, every_s: float) -> None:
    """Feeds a tick every `every_s` seconds, for ever."""
    while True:
        joined.feed(filters.Tick(joined.now(), time.time()))
        await asyncio.sleep(every_s)
