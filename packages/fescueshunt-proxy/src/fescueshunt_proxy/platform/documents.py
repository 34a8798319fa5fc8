"""Models of the documents in the platform's store and their decoders.

Any program may have written them. What can't be a document of its kind is
reported as unreadable, and numbers out of any range are bounded.
"""

from __future__ import annotations

import re
from typing import Annotated, Literal

import msgspec

from fescueshunt import errors
from fescueshunt.core import (
    accounts,
    replica_sets,
    routes,
    sessions,
    store_items,
    texts,
)
from fescueshunt_proxy._internal.hosted import ports
from fescueshunt_proxy.platform import decoding, store_messages

ROUTES_KEY = "op/config"
ENTRIES_PREFIX = "servers/"
MS_PER_S = 1000

# Names are fields of lines that are separated by spaces, and encoded in UTF-8.
_NAME_PATTERN = r"^[^\s\x00-\x1f\x7f\ud800-\udfff]+\Z"
_OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_PORT = (
    r"(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}"
    r"|[1-5][0-9]{4}|[1-9][0-9]{0,3})"
)
# Networks 1 to 223; those above and below name no single other machine.
_UNICAST_OCTET = r"(22[0-3]|2[01][0-9]|1[0-9]{2}|[1-9][0-9]?)"
# Far above what one machine can hold; larger limits mean the same.
MAX_CONNECTIONS = 1_000_000
MAX_TIMEOUT_MS = 86_400_000
MAX_PRIORITY = 1_000_000

Name = Annotated[
    str, msgspec.Meta(min_length=1, max_length=200, pattern=_NAME_PATTERN)
]
Address = Annotated[
    str, msgspec.Meta(pattern=rf"^({_OCTET}\.){{3}}{_OCTET}:{_PORT}\Z")
]
UpstreamAddress = Annotated[
    str,
    msgspec.Meta(pattern=rf"^{_UNICAST_OCTET}(\.{_OCTET}){{3}}:{_PORT}\Z"),
]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_CONNECTIONS)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0)]

_CONSISTENCY_BY_ROUTE_TYPE = {
    "primary": routes.Consistency.PRIMARY,
    "bounded_staleness": routes.Consistency.BOUNDED,
    "read_your_writes": routes.Consistency.OWN_WRITES,
}
_ROLE_BY_NAME = {
    "primary": sessions.ReplicaRole.PRIMARY,
    "replica": sessions.ReplicaRole.REPLICA,
}


class _Route(msgspec.Struct, frozen=True):
    # `db_name` is the route name that clients give at session start; `service`
    # is the replica set that serves the route.
    db_name: Name
    service: Name
    route_type: Literal["primary", "bounded_staleness", "read_your_writes"]
    timeout_ms: Milliseconds
    target_latency_ms: Milliseconds
    priority: int = 0
    max_staleness_ms: Milliseconds = 0
    public: bool = False


class _Service(msgspec.Struct, frozen=True):
    name: Name
    max_conns: PositiveInt
    sync_replicas: NonNegativeInt = 0


class _Tenant(msgspec.Struct, frozen=True):
    # A client account. Its name becomes a field of messages.
    name: str
    api_keys: list[str] = []
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] | None = None
    burst: Annotated[float, msgspec.Meta(ge=0)] | None = None


class _Limits(msgspec.Struct, frozen=True):
    tx_idle_ms: Milliseconds = 3000


class _RoutesDocument(msgspec.Struct, frozen=True):
    version: NonNegativeInt
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


class _UpstreamRecord(msgspec.Struct, frozen=True):
    service: Name
    address: UpstreamAddress
    zone: Name
    slots: Slots
    state: Literal["ready", "draining"]
    db_role: Literal["primary", "replica"]
    born: int = 0


def decode_routes(data: bytes, now: float) -> routes.RoutesView:
    """Decodes the operator's routing document.

    Args:
      data: the document as JSON.
      now: time at which the document was read, in seconds.

    Raises:
      DocumentUnreadableError: if the document is invalid.
    """
    document = decoding.decode(_RoutesDocument, data)
    return routes.RoutesView(
        now,
        document.version,
        {route.db_name: _convert_route(route) for route in document.routes},
        {
            service.name: routes.ReplicaSetPolicy(
                service.name,
                min(service.max_conns, MAX_CONNECTIONS),
                min(service.sync_replicas, MAX_CONNECTIONS),
            )
            for service in document.services
        },
        _seconds(document.limits.tx_idle_ms),
        _convert_tenants(document.tenants),
    )


def _convert_route(route: _Route) -> routes.Route:
    return routes.Route(
        name=route.db_name,
        database=route.service,
        consistency=_CONSISTENCY_BY_ROUTE_TYPE[route.route_type],
        timeout_s=_seconds(route.timeout_ms),
        target_s=_seconds(route.target_latency_ms),
        priority=min(max(route.priority, 0), MAX_PRIORITY),
        max_age_s=_seconds(route.max_staleness_ms),
        is_public=route.public,
    )


def _convert_tenants(
    tenants: list[_Tenant] | None,
) -> accounts.Directory | None:
    """Returns the client accounts; those that can't be named are left out."""
    if tenants is None:
        return None
    return accounts.build_directory(
        (
            accounts.Account(texts.Word(tenant.name), _convert_quota(tenant)),
            tenant.api_keys,
        )
        for tenant in tenants
        if re.search(_NAME_PATTERN, tenant.name)
    )


def _convert_quota(tenant: _Tenant) -> accounts.Quota | None:
    if tenant.rate_per_s is None:
        return None
    burst = tenant.rate_per_s if tenant.burst is None else tenant.burst
    return accounts.Quota(tenant.rate_per_s, burst)


def _seconds(milliseconds: float) -> float:
    return min(milliseconds, MAX_TIMEOUT_MS) / MS_PER_S


def decode_entry(upstream: str, data: bytes) -> replica_sets.UpstreamEntry:
    """Decodes the entry of an upstream.

    Raises:
      DocumentUnreadableError: if the entry can't be that of an upstream, for
        example because another program wrote the key.
    """
    if not re.search(_NAME_PATTERN, upstream):
        raise errors.DocumentUnreadableError("the key names no upstream")
    record = decoding.decode(_UpstreamRecord, data)
    return replica_sets.UpstreamEntry(
        upstream=upstream,
        database=record.service,
        address=record.address,
        zone=record.zone,
        slots=record.slots,
        draining=record.state == "draining",
        role=_ROLE_BY_NAME[record.db_role],
        started_ms=record.born,
    )


def decode_key(item: store_messages.Item) -> store_items.StoredKey:
    """Decodes the content of a key written by this system."""
    value = item.decode_value().decode(errors="replace")
    return store_items.StoredKey(value, item.revision, item.lease_id)


def decode_change(item: store_messages.Item, now: float) -> ports.Change | None:
    """Decodes a changed item; returns None if this system ignores its key."""
    if item.key == ROUTES_KEY:
        return _decode_routes_change(item, now)
    if item.key.startswith(ENTRIES_PREFIX):
        return _decode_entry_change(item)
    if item.key.startswith(store_items.KEY_PREFIX):
        stored = None if item.deleted else decode_key(item)
        return ports.KeyChange(item.key, stored, item.revision)
    return None


def _decode_routes_change(
    item: store_messages.Item, now: float
) -> ports.Change:
    try:
        return ports.RoutesChange(decode_routes(item.decode_value(), now))
    except errors.DocumentUnreadableError as exc:
        return ports.RoutesChange(None, exc.detail)


def _decode_entry_change(item: store_messages.Item) -> ports.Change:
    upstream = item.key.removeprefix(ENTRIES_PREFIX)
    if item.deleted:
        return ports.EntryChange(upstream, None)
    try:
        return ports.EntryChange(
            upstream, decode_entry(upstream, item.decode_value())
        )
    except errors.DocumentUnreadableError as exc:
        return ports.EntryChange(upstream, None, exc.detail)
