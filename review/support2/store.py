"""Stand-in for the platform's store: keys, leases, watches and promotions."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from support2 import http_server

MS_PER_S = 1000
ANSWER_S = 0.004
MAX_WAIT_S = 30.0
EXPIRY_INTERVAL_S = 0.02
OK = 200
NOT_FOUND = 404
CONFLICT = 409
CONDITION_FAILED = 412
FORBIDDEN = 403
OPERATOR_PREFIXES = ("op/", "servers/")


@dataclasses.dataclass(slots=True)
class Item:
    """A key with its value in base64; a removed one has no value."""

    key: str
    value: str | None
    revision: int
    created_rev: int
    lease_id: int = 0

    def to_json(self) -> dict[str, Any]:
        """Returns the item as the store sends it."""
        if self.value is None:
            return {
                "key": self.key,
                "revision": self.revision,
                "deleted": True,
            }
        return dataclasses.asdict(self)


class Store:
    """The keys, and the calls on them.

    Args:
      promote: carries out a promotion; returns whether it was accepted.
    """

    def __init__(self, promote: Callable[[str, str, str, int], bool]) -> None:
        self._promote = promote
        self._items: dict[str, Item] = {}
        self._history: list[Item] = []
        self._lease_ends: dict[int, float] = {}
        self._lease_ttls_ms: dict[int, int] = {}
        self._revision = 100
        self._changed = asyncio.Condition()

    def put(self, key: str, data: bytes | None, lease: int = 0) -> None:
        """Writes a key, or removes it if `data` is None."""
        known = self._items.get(key)
        if data is None and known is None:
            return
        self._revision += 1
        value = None if data is None else base64.b64encode(data).decode()
        created = known.created_rev if known is not None else self._revision
        item = Item(key, value, self._revision, created, lease)
        self._history.append(item)
        if value is None:
            del self._items[key]
        else:
            self._items[key] = item
        asyncio.get_running_loop().create_task(self._notify())

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def expire_leases(self) -> None:
        """Ends the leases that are over, until cancelled."""
        while True:
            now = time.monotonic()
            ended = [each for each, at in self._lease_ends.items() if at < now]
            for lease in ended:
                self._end_lease(lease)
            await asyncio.sleep(EXPIRY_INTERVAL_S)

    def _end_lease(self, lease: int) -> None:
        if self._lease_ends.pop(lease, None) is None:
            return
        held = [k for k, item in self._items.items() if item.lease_id == lease]
        for key in held:
            self.put(key, None)

    async def handle(
        self,
        method: str,
        path: str,
        params: http_server.Params,
        body: dict[str, Any],
    ) -> http_server.Answer:
        """Answers one call, after the usual time."""
        await asyncio.sleep(ANSWER_S)
        match method, path.split("/")[1:]:
            case "GET", ["kv-key"]:
                return self._get(params["key"])
            case "GET", ["kv-range"]:
                return self._list(params.get("prefix", ""))
            case "GET", ["kv-watch"]:
                return await self._watch(params)
            case "POST", ["kv-txn"]:
                return self._commit(body)
            case "POST", ["kv-lease"]:
                return self._grant(int(body["ttl_ms"]))
            case "POST", ["kv-keep", lease]:
                return self._renew(int(lease))
            case "DELETE", ["kv-lease-end", lease]:
                self._end_lease(int(lease))
                return OK, {}
        return NOT_FOUND, {}

    async def handle_promotion(
        self,
        method: str,
        path: str,
        params: http_server.Params,
        body: dict[str, Any],
    ) -> http_server.Answer:
        """Answers a call for a promotion."""
        await asyncio.sleep(ANSWER_S)
        if (method, path) != ("POST", "/promotion"):
            return NOT_FOUND, {}
        accepted = self._promote(body["service"], body["id"], "", 0)
        return OK if accepted else CONFLICT, {}

    def _get(self, key: str) -> http_server.Answer:
        item = self._items.get(key)
        if item is None:
            return NOT_FOUND, {}
        return OK, item.to_json() | {"as_of": self._revision}

    def _list(self, prefix: str) -> http_server.Answer:
        items = [
            item.to_json()
            for key, item in sorted(self._items.items())
            if key.startswith(prefix)
        ]
        return OK, {
            "items": items,
            "more_pages": False,
            "as_of": self._revision,
        }

    async def _watch(self, params: http_server.Params) -> http_server.Answer:
        after = int(params["after"])
        wait_s = min(int(params["wait_ms"]) / MS_PER_S, MAX_WAIT_S)
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: self._revision > after)
        except TimeoutError:
            pass
        prefix = params.get("prefix", "")
        events = [
            item.to_json()
            for item in self._history
            if item.revision > after and item.key.startswith(prefix)
        ]
        return OK, {"events": events, "as_of": self._revision}

    def _commit(self, body: dict[str, Any]) -> http_server.Answer:
        expected = body.get("expected", ())
        for row in expected:
            item = self._items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                keys = [each["key"] for each in expected]
                states = [
                    self._items[k].to_json() for k in keys if k in self._items
                ]
                return CONDITION_FAILED, {"items": states}
        writes, removed = body.get("writes", ()), body.get("remove", ())
        keys = [row["key"] for row in writes] + list(removed)
        if any(key.startswith(OPERATOR_PREFIXES) for key in keys):
            return FORBIDDEN, {}
        for row in writes:
            lease = row.get("lease_id", 0)
            if lease and lease not in self._lease_ends:
                return NOT_FOUND, {}
        for row in writes:
            data = base64.b64decode(row["value"])
            self.put(row["key"], data, row.get("lease_id", 0))
        for key in removed:
            self.put(key, None)
        return OK, {"revision": self._revision}

    def _grant(self, ttl_ms: int) -> http_server.Answer:
        self._revision += 1
        lease = self._revision
        self._lease_ttls_ms[lease] = ttl_ms
        self._lease_ends[lease] = time.monotonic() + ttl_ms / MS_PER_S
        return OK, {"lease_id": lease, "ttl_ms": ttl_ms}

    def _renew(self, lease: int) -> http_server.Answer:
        if lease not in self._lease_ends:
            return NOT_FOUND, {}
        ttl_ms = self._lease_ttls_ms[lease]
        self._lease_ends[lease] = time.monotonic() + ttl_ms / MS_PER_S
        return OK, {"lease_id": lease, "ttl_ms": ttl_ms}
