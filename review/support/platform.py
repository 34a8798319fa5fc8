"""The project's stand-in for the platform, with planned replacements."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import TYPE_CHECKING

from fescueshunt.core import store_items
from fescueshunt_standins.hosted import kv, lines, server
from fescueshunt_wire import http
from support import hosts

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# "1,000 ms a promote" on the site sahil-renew.
PROMOTE_S = 1.0


class Platform(server.Platform):
    """The store and one database of three members.

    Attributes:
      draining: the members that have reported `draining`.
      shown_addresses: the addresses that members register in place of their
        own, of links that lead to them.
    """

    def __init__(self) -> None:
        super().__init__()
        self.draining: set[str] = set()
        self.born = {name: int(time.time() * 1000) for name in self.members}
        self.shown_addresses: dict[str, str] = {}

    def publish_entries(self) -> None:
        """Writes the entries that have changed; removes those of the dead."""
        for name, member in self.members.items():
            entry = {
                "service": server.DATABASE,
                "address": self.shown_addresses.get(name, self.addresses[name]),
                "zone": "z",
                "version": "v1",
                "slots": 5,
                "state": "draining" if name in self.draining else "ready",
                "cold_left_ms": 0,
                "seq": 1,
                "born": self.born[name],
                "db_role": member.role.value,
            }
            text = json.dumps(entry) if member.up else None
            if self._published_entries.get(name) != text:
                self._published_entries[name] = text
                self._write_key(f"servers/{name}", text)

    def promote(self, name: str) -> bool:
        """Promotes a member some time after the call, if it runs."""
        return self.replica_set.promote(name, PROMOTE_S, time.monotonic(), 0)

    def crash(self, name: str) -> None:
        """Ends a member's process; its log stays."""
        self.members[name].up = False
        self.listeners[name].close_connections()

    def restart(self, name: str) -> None:
        """Starts a crashed replica again; it isn't paused any more."""
        member = self.members[name]
        member.paused_term = 0
        self.born[name] = int(time.time() * 1000)
        member.up = True

    def duty_holder(self) -> str:
        """Returns the host that holds the failover duty, "" if none does."""
        stored = self.store.keys.get(store_items.DUTY_KEY)
        return stored.value if stored is not None else ""


@contextlib.asynccontextmanager
async def running() -> AsyncIterator[tuple[Platform, str]]:
    """Serves the store and the members; yields them and the store's address."""
    platform = Platform()
    assert isinstance(platform.store, kv.KeyValueStore)
    address = f"127.0.0.1:{hosts.free_port()}"
    async with contextlib.AsyncExitStack() as stack:
        for name, member in platform.members.items():
            listener = lines.MemberListener(
                platform.replica_set, member, lines.CALL_DURATION_S
            )
            platform.listeners[name] = listener
            platform.addresses[name] = await stack.enter_async_context(
                listener.serving(server.DATABASE)
            )
        platform.publish_routes()
        await stack.enter_async_context(http.serve(address, platform.respond))
        periodic = asyncio.create_task(platform.run_periodic_work())
        try:
            yield platform, address
        finally:
            periodic.cancel()
