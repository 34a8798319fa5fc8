"""One process in place of the platform: its store, its calls, upstreams.

The store and the promotion call listen at one address, each upstream at one of
its own. `POST /stand-in/crash?name=` and `/stand-in/restart?name=` act on an
upstream.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import time
import urllib.parse
from typing import TYPE_CHECKING, Any

from fescueshunt.core import sessions, store_items
from fescueshunt_standins.hosted import kv, lines, replicas
from fescueshunt_wire import http

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

TICK_S = 0.01
PROMOTE_S = 0.2
DATABASE = "renew-1"
MAX_WAIT_S = 30.0
ROUTES = (
    ("card-renew", "primary", 0),
    ("agent-history", "read_your_writes", 2500),
    ("gate-status", "bounded_staleness", 1500),
)


class Platform:
    """The store's keys, one replica set, and the calls on both."""

    def __init__(self) -> None:
        self.keys = kv.KeyValues()
        names = ("u-a", "u-b", "u-c")
        self.members = {
            name: replicas.Member(name, sessions.ReplicaRole.REPLICA)
            for name in names
        }
        self.members["u-a"].role = sessions.ReplicaRole.PRIMARY
        self.group = replicas.ReplicaSet(
            self.members, lambda one, other: True, self._later
        )
        self.addresses: dict[str, str] = {}
        self.doors: dict[str, lines.Door] = {}
        self._shown: dict[str, str] = {}

    def _later(self, delay_s: float, call: Any) -> None:
        asyncio.get_running_loop().call_later(delay_s, call)

    def publish_routes(self) -> None:
        """Writes the operator's document."""
        routes = [
            {
                "db_name": name,
                "route_type": kind,
                "timeout_ms": 1000,
                "target_latency_ms": 500,
                "priority": 0,
                "service": DATABASE,
                "max_staleness_ms": age_ms,
            }
            for name, kind, age_ms in ROUTES
        ]
        services = [{"name": DATABASE, "max_conns": 30, "sync_replicas": 1}]
        document = {"version": 1, "routes": routes, "services": services}
        self._write("op/config", json.dumps(document))

    def publish_entries(self) -> None:
        """Writes the entry of each upstream that has changed."""
        for name, member in self.members.items():
            entry = {
                "service": DATABASE,
                "address": self.addresses[name],
                "zone": "z",
                "slots": 4,
                "state": "ready",
                "db_role": member.role.value,
            }
            text = json.dumps(entry) if member.up else None
            if self._shown.get(name) != text:
                self._shown[name] = text
                self._write(f"servers/{name}", text)

    def _write(self, key: str, value: str | None) -> None:
        self.keys.write(store_items.WriteKey(0.0, key, value, 0, None))

    async def tick(self) -> None:
        """Lets time pass, for ever."""
        while True:
            self.keys.expire(time.monotonic())
            self.group.ship()
            self.publish_entries()
            await asyncio.sleep(TICK_S)

    async def respond(self, request: http.Request) -> http.Response:
        """Answers a call."""
        path, _, query = request.target.partition("?")
        given = dict(urllib.parse.parse_qsl(query))
        body = json.loads(request.body) if request.body else {}
        match request.method, path.split("/")[1:]:
            case "GET", ["kv-key"]:
                return self._read(given["key"])
            case "GET", ["kv-range"]:
                return self._range(given.get("prefix", ""))
            case "GET", ["kv-watch"]:
                return await self._watch(given)
            case "POST", ["kv-txn"]:
                return self._change(body)
            case "POST", ["kv-lease"]:
                ttl_s = body["ttl_ms"] / 1000
                lease = self.keys.grant(ttl_s, time.monotonic())
                return _answer(lease_id=lease, ttl_ms=body["ttl_ms"])
            case "POST", ["kv-keep", lease]:
                return self._keep(int(lease))
            case "DELETE", ["kv-lease-end", lease]:
                self.keys.end(int(lease))
                return _answer()
            case "POST", ["promotion"]:
                return self._promote(body["id"])
            case "POST", ["stand-in", what]:
                return self._act(what, given["name"])
        return http.Response(404, b"")

    def _read(self, key: str) -> http.Response:
        stored = self.keys.keys.get(key)
        if stored is None:
            return http.Response(404, b"")
        return _answer(**_item(key, stored), as_of=self.keys.revision)

    def _range(self, prefix: str) -> http.Response:
        found = [
            _item(key, stored)
            for key, stored in sorted(self.keys.keys.items())
            if key.startswith(prefix)
        ]
        return _answer(items=found, more_pages=False, as_of=self.keys.revision)

    async def _watch(self, given: dict[str, str]) -> http.Response:
        after = int(given["after"])
        wait_s = min(int(given["wait_ms"]) / 1000, MAX_WAIT_S)
        until = time.monotonic() + wait_s
        while self.keys.revision <= after and time.monotonic() < until:
            await asyncio.sleep(TICK_S)
        events = [
            _item(key, stored)
            if stored is not None
            else {"key": key, "revision": revision, "deleted": True}
            for revision, key, stored in self.keys.changes
            if revision > after
        ]
        return _answer(events=events, as_of=self.keys.revision)

    def _change(self, body: dict[str, Any]) -> http.Response:
        expected = {
            row["key"]: row["revision"] for row in body.get("expected", ())
        }
        for key, revision in expected.items():
            stored = self.keys.keys.get(key)
            if (stored.revision if stored else 0) != revision:
                return http.Response(412, b'{"items":[]}')
        for row in body.get("writes", ()):
            value = base64.b64decode(row["value"]).decode()
            lease = row.get("lease_id", 0)
            if lease and lease not in self.keys.leases:
                return http.Response(404, b"")
            item = store_items.WriteKey(0.0, row["key"], value, lease, None)
            self.keys.write(item)
        for key in body.get("remove", ()):
            self._write(key, None)
        return _answer(revision=self.keys.revision)

    def _keep(self, lease: int) -> http.Response:
        if not self.keys.renew(lease, time.monotonic()):
            return http.Response(404, b"")
        return _answer(ttl_ms=self.keys.ttls[lease] * 1000)

    def _promote(self, name: str) -> http.Response:
        done = self.group.promote(name, PROMOTE_S, time.monotonic(), 0)
        return http.Response(200 if done else 409, b"{}")

    def _act(self, what: str, name: str) -> http.Response:
        member = self.members[name]
        member.up = what == "restart"
        if not member.up:
            self.doors[name].close_connections()
        elif self.group.primary() is not None:
            member.role = sessions.ReplicaRole.REPLICA
        return _answer()


@contextlib.asynccontextmanager
async def running(address: str) -> AsyncIterator[Platform]:
    """Serves a platform while the block runs."""
    platform = Platform()
    async with contextlib.AsyncExitStack() as stack:
        for name, member in platform.members.items():
            door = lines.Door(platform.group, member)
            platform.doors[name] = door
            serving = door.serving(DATABASE)
            bound = await stack.enter_async_context(serving)
            platform.addresses[name] = bound
        platform.publish_routes()
        await stack.enter_async_context(http.serve(address, platform.respond))
        tick = asyncio.create_task(platform.tick())
        try:
            yield platform
        finally:
            tick.cancel()


def _item(key: str, stored: store_items.StoredKey) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(stored.value.encode()).decode(),
        "revision": stored.revision,
        "created_rev": stored.revision,
        "lease_id": stored.lease,
    }


def _answer(**fields: Any) -> http.Response:
    return http.Response(200, json.dumps(fields).encode())
