"""Platform stand-in for hosts: key-value store, promotion call, upstreams.

The key-value store and the promotion call share one HTTP address. Each upstream
listens on an address of its own. `POST /stand-in/crash?name=` and
`POST /stand-in/restart?name=` crash and restart an upstream, and
`POST /stand-in/routes?timeout_ms=` changes the configuration document, and
`POST /stand-in/accounts?rate_per_s=&burst=` gives clients an account with a
quota there.
`POST /stand-in/isolate?name=` and `POST /stand-in/reconnect?name=` separate an
upstream from the other ones, and connect it again.
`POST /stand-in/late-promotions?count=&delay_s=` carries out the next calls for
a promotion late, and doesn't answer them.
`GET /stand-in/statements` returns the ids of the statements that clients sent
and that arrived at an upstream, and the values in the latest log of a member.
`GET /stand-in/violations` returns what a judge has found wrong in the messages
that arrived at the upstreams.
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
from fescueshunt_standins.hosted import journal, kv, lines, observer, replicas
from fescueshunt_wire import http

if TYPE_CHECKING:
    import pathlib
    from collections.abc import AsyncIterator

TICK_S = 0.01
PROMOTION_DELAY_S = 0.2
DATABASE = "renew-1"
CLIENT_ACCOUNT = "acme"
CLIENT_KEY = "tester"
TIMEOUT_MS = 1000
MAX_WAIT_S = 30.0
# Longer than a caller waits for an answer.
NO_ANSWER_S = 10.0
ROUTES = (
    ("card-renew", "primary", 0),
    ("agent-history", "read_your_writes", 2500),
    ("gate-status", "bounded_staleness", 1500),
)


class Platform:
    """The key-value store and one replica set, with the HTTP calls on them."""

    def __init__(self, written: journal.Journal | None = None) -> None:
        self.recorder = observer.UpstreamRecorder(written)
        self.store = kv.KeyValueStore()
        names = ("u-a", "u-b", "u-c")
        self.members = {
            name: replicas.Member(name, sessions.ReplicaRole.REPLICA)
            for name in names
        }
        self.members["u-a"].role = sessions.ReplicaRole.PRIMARY
        self.replica_set = replicas.ReplicaSet(
            self.members, self._can_reach, self._schedule
        )
        self._isolated: set[str] = set()
        self.addresses: dict[str, str] = {}
        self.listeners: dict[str, lines.MemberListener] = {}
        self._published_entries: dict[str, str] = {}
        self._routes_version = 0
        self._accounts: list[dict[str, Any]] | None = None
        self._late_promotions = 0
        self._late_promotion_delay_s = 0.0

    def _can_reach(self, source: str, target: str) -> bool:
        return self._isolated.isdisjoint((source, target))

    def _schedule(self, delay_s: float, call: Any) -> None:
        asyncio.get_running_loop().call_later(delay_s, call)

    def publish_routes(self, timeout_ms: int = TIMEOUT_MS) -> None:
        """Writes the operator's configuration document to the store."""
        self._routes_version += 1
        routes = [
            {
                "db_name": name,
                "route_type": route_type,
                "timeout_ms": timeout_ms,
                "target_latency_ms": 500,
                "priority": 0,
                "service": DATABASE,
                "max_staleness_ms": max_staleness_ms,
            }
            for name, route_type, max_staleness_ms in ROUTES
        ]
        services = [{"name": DATABASE, "max_conns": 30, "sync_replicas": 1}]
        document = {
            "version": self._routes_version,
            "routes": routes,
            "services": services,
        }
        if self._accounts is not None:
            document["tenants"] = self._accounts
        self._write_key("op/config", json.dumps(document))

    def publish_accounts(self, rate_per_s: float, burst: float) -> None:
        """Gives the account of the tests' clients a quota."""
        account = {
            "name": CLIENT_ACCOUNT,
            "api_keys": [CLIENT_KEY],
            "rate_per_s": rate_per_s,
            "burst": burst,
        }
        self._accounts = [account]
        self.publish_routes()

    def publish_entries(self) -> None:
        """Writes the store entries of the upstreams that have changed.

        Deletes the entry of an upstream that is down.
        """
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
            if self._published_entries.get(name) != text:
                self._published_entries[name] = text
                self._write_key(f"servers/{name}", text)

    def _write_key(self, key: str, value: str | None) -> None:
        self.store.write(store_items.WriteKey(0.0, key, value, 0, None))

    async def run_periodic_work(self) -> None:
        """Expires leases, replicates logs and publishes upstream entries.

        Repeats every `TICK_S` until cancelled.
        """
        while True:
            self.store.expire_leases(time.monotonic())
            self.replica_set.replicate()
            self.publish_entries()
            await asyncio.sleep(TICK_S)

    async def respond(self, request: http.Request) -> http.Response:
        """Handles an HTTP request and returns the response."""
        path, _, query = request.target.partition("?")
        params = dict(urllib.parse.parse_qsl(query))
        body = json.loads(request.body) if request.body else {}
        match request.method, path.split("/")[1:]:
            case "GET", ["kv-key"]:
                return self._get_key(params["key"])
            case "GET", ["kv-range"]:
                return self._get_range(params.get("prefix", ""))
            case "GET", ["kv-watch"]:
                return await self._watch(params)
            case "POST", ["kv-txn"]:
                return self._commit_transaction(body)
            case "POST", ["kv-lease"]:
                ttl_s = body["ttl_ms"] / 1000
                lease = self.store.grant_lease(ttl_s, time.monotonic())
                return _json_response(lease_id=lease, ttl_ms=body["ttl_ms"])
            case "POST", ["kv-keep", lease]:
                return self._renew_lease(int(lease))
            case "DELETE", ["kv-lease-end", lease]:
                self.store.end_lease(int(lease))
                return _json_response()
            case "POST", ["promotion"]:
                return await self._handle_promotion_call(body["id"])
            case method, ["stand-in", action]:
                return self._control(method, action, params)
        return http.Response(404, b"")

    def _control(
        self, method: str, action: str, params: dict[str, str]
    ) -> http.Response:
        """Handles a call that controls the stand-in itself."""
        match method, action:
            case "GET", "statements":
                return self._list_statements()
            case "GET", "violations":
                return self._list_violations()
            case "POST", "routes":
                self.publish_routes(int(params["timeout_ms"]))
            case "POST", "accounts":
                self.publish_accounts(
                    float(params["rate_per_s"]), float(params["burst"])
                )
            case "POST", "late-promotions":
                self._late_promotions = int(params["count"])
                self._late_promotion_delay_s = float(params["delay_s"])
            case "POST", "isolate":
                self._isolated.add(params["name"])
            case "POST", "reconnect":
                self._isolated.discard(params["name"])
            case "POST", "crash" | "restart":
                self._crash_or_restart(action, params["name"])
            case _:
                return http.Response(404, b"")
        return _json_response()

    def _get_key(self, key: str) -> http.Response:
        stored = self.store.keys.get(key)
        if stored is None:
            return http.Response(404, b"")
        return _json_response(
            **_encode_item(key, stored), as_of=self.store.revision
        )

    def _get_range(self, prefix: str) -> http.Response:
        items = [
            _encode_item(key, stored)
            for key, stored in sorted(self.store.keys.items())
            if key.startswith(prefix)
        ]
        return _json_response(
            items=items, more_pages=False, as_of=self.store.revision
        )

    async def _watch(self, params: dict[str, str]) -> http.Response:
        after = int(params["after"])
        wait_s = min(int(params["wait_ms"]) / 1000, MAX_WAIT_S)
        deadline = time.monotonic() + wait_s
        while self.store.revision <= after and time.monotonic() < deadline:
            await asyncio.sleep(TICK_S)
        events = [
            _encode_item(key, stored)
            if stored is not None
            else {"key": key, "revision": revision, "deleted": True}
            for revision, key, stored in self.store.changes
            if revision > after
        ]
        return _json_response(events=events, as_of=self.store.revision)

    def _commit_transaction(self, body: dict[str, Any]) -> http.Response:
        expected = {
            row["key"]: row["revision"] for row in body.get("expected", ())
        }
        for key, revision in expected.items():
            stored = self.store.keys.get(key)
            if (stored.revision if stored else 0) != revision:
                return http.Response(412, b'{"items":[]}')
        for row in body.get("writes", ()):
            value = base64.b64decode(row["value"]).decode()
            lease = row.get("lease_id", 0)
            if lease and lease not in self.store.lease_expiries:
                return http.Response(404, b"")
            item = store_items.WriteKey(0.0, row["key"], value, lease, None)
            self.store.write(item)
        for key in body.get("remove", ()):
            self._write_key(key, None)
        return _json_response(revision=self.store.revision)

    def _renew_lease(self, lease: int) -> http.Response:
        if not self.store.renew_lease(lease, time.monotonic()):
            return http.Response(404, b"")
        return _json_response(ttl_ms=self.store.lease_ttls_s[lease] * 1000)

    async def _handle_promotion_call(self, name: str) -> http.Response:
        if not self._late_promotions:
            accepted = self._promote_upstream(name)
            return http.Response(200 if accepted else 409, b"{}")
        self._late_promotions -= 1
        # The call acts also if its sender has given it up or has ended.
        self._schedule(
            self._late_promotion_delay_s, lambda: self._promote_upstream(name)
        )
        await asyncio.sleep(NO_ANSWER_S)
        return http.Response(503, b"")

    def _promote_upstream(self, name: str) -> bool:
        return self.replica_set.promote(
            name, PROMOTION_DELAY_S, time.monotonic(), 0
        )

    def _list_statements(self) -> http.Response:
        ids = [
            statement_id
            for listener in self.listeners.values()
            for statement_id in listener.received_ids
        ]
        members = self.members.values()
        latest = max(members, key=replicas.Member.received_position)
        committed = [entry.tag for entry in latest.log]
        return _json_response(ids=ids, committed=committed)

    def _list_violations(self) -> http.Response:
        checked = self.recorder.judge
        violations = [
            {"rule": violation.rule.value, "detail": violation.detail}
            for violation in checked.violations
        ]
        return _json_response(
            count=checked.violation_count, violations=violations
        )

    def _crash_or_restart(self, action: str, name: str) -> None:
        member = self.members[name]
        member.up = action == "restart"
        if not member.up:
            self.listeners[name].close_connections()
        elif self.replica_set.primary() is not None:
            member.role = sessions.ReplicaRole.REPLICA


@contextlib.asynccontextmanager
async def running(
    address: str,
    statement_duration_s: float = lines.CALL_DURATION_S,
    journal_path: pathlib.Path | None = None,
) -> AsyncIterator[Platform]:
    """Serves a platform stand-in on `address` and yields it.

    Args:
      address: the IP address and port to listen on, as `ip:port`.
      statement_duration_s: how long a client's statement takes at an upstream.
      journal_path: where to write the messages of the upstreams, if anywhere.
    """
    async with contextlib.AsyncExitStack() as stack:
        written = None
        if journal_path is not None:
            written = stack.enter_context(journal.writing(journal_path))
        platform = Platform(written)
        for name, member in platform.members.items():
            listener = lines.MemberListener(
                platform.replica_set,
                member,
                statement_duration_s,
                platform.recorder,
            )
            platform.listeners[name] = listener
            listening = listener.serving(DATABASE)
            upstream_address = await stack.enter_async_context(listening)
            platform.addresses[name] = upstream_address
        platform.publish_routes()
        await stack.enter_async_context(http.serve(address, platform.respond))
        periodic_task = asyncio.create_task(platform.run_periodic_work())
        try:
            yield platform
        finally:
            periodic_task.cancel()


def _encode_item(key: str, stored: store_items.StoredKey) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(stored.value.encode()).decode(),
        "revision": stored.revision,
        "created_rev": stored.revision,
        "lease_id": stored.lease,
    }


def _json_response(**fields: Any) -> http.Response:
    return http.Response(200, json.dumps(fields).encode())
