"""Models of the documents in the platform's store and their decoders."""

from __future__ import annotations

import base64
import binascii
from typing import Annotated, Literal, TypeVar

import msgspec

from fescueshunt import errors
from fescueshunt.core import (
    replica_sets,
    routes,
    sessions,
    store_items,
)
from fescueshunt_proxy._internal.hosted import ports

ROUTES_KEY = "op/config"
ENTRIES_PREFIX = "servers/"
MS_PER_S = 1000

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0)]

DocumentT = TypeVar("DocumentT")

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


class _Service(msgspec.Struct, frozen=True):
    name: Name
    max_conns: PositiveInt
    sync_replicas: NonNegativeInt = 0


class _Limits(msgspec.Struct, frozen=True):
    tx_idle_ms: Milliseconds = 3000


class _RoutesDocument(msgspec.Struct, frozen=True):
    version: NonNegativeInt
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()


class _UpstreamRecord(msgspec.Struct, frozen=True):
    service: Name
    address: Address
    zone: Name
    slots: PositiveInt
    state: Literal["ready", "draining"]
    db_role: Literal["primary", "replica"]
    born: int = 0


def decode(model: type[DocumentT], data: bytes) -> DocumentT:
    """Decodes JSON into `model`; unknown fields are ignored.

    Raises:
      DocumentUnreadableError: if `data` is not a valid `model`.
    """
    try:
        return msgspec.json.decode(data, type=model)
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        RecursionError,
    ) as exc:
        raise errors.DocumentUnreadableError(str(exc)) from exc


def decode_routes(data: bytes, now: float) -> routes.RoutesView:
    """Decodes the operator's routing document.

    Args:
      data: the document as JSON.
      now: time at which the document was read, in seconds.

    Raises:
      DocumentUnreadableError: if the document is invalid.
    """
    document = decode(_RoutesDocument, data)
    return routes.RoutesView(
        now,
        document.version,
        {route.db_name: _convert_route(route) for route in document.routes},
        {
            service.name: routes.ReplicaSetPolicy(
                service.name, service.max_conns, service.sync_replicas
            )
            for service in document.services
        },
        document.limits.tx_idle_ms / MS_PER_S,
    )


def _convert_route(route: _Route) -> routes.Route:
    return routes.Route(
        name=route.db_name,
        database=route.service,
        consistency=_CONSISTENCY_BY_ROUTE_TYPE[route.route_type],
        timeout_s=route.timeout_ms / MS_PER_S,
        target_s=route.target_latency_ms / MS_PER_S,
        priority=route.priority,
        max_age_s=route.max_staleness_ms / MS_PER_S,
    )


def decode_entry(upstream: str, data: bytes) -> replica_sets.UpstreamEntry:
    """Decodes the entry of an upstream.

    Raises:
      DocumentUnreadableError: if the entry is invalid, for example because
        another program wrote the key.
    """
    record = decode(_UpstreamRecord, data)
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


class Item(msgspec.Struct, frozen=True, kw_only=True):
    """A store item, or the tombstone of a removed item.

    Attributes:
      value: the item's bytes in base64.
      deleted: whether the item was removed.
    """

    key: str
    value: str = ""
    revision: int
    lease_id: int = 0
    deleted: bool = False

    def decode_value(self) -> bytes:
        """Returns the decoded bytes; empty if `value` is not valid base64."""
        try:
            return base64.b64decode(self.value)
        except (binascii.Error, ValueError):
            return b""


class ItemPage(msgspec.Struct, frozen=True, kw_only=True):
    """One page of the items in the store."""

    items: list[Item]
    more_pages: bool = False
    as_of: int


class WatchResponse(msgspec.Struct, frozen=True):
    """The response to a watch: changes since a revision."""

    events: list[Item]
    as_of: int


class ItemResponse(Item, frozen=True, kw_only=True):
    """The response to a read of one key."""

    as_of: int


class LeaseResponse(msgspec.Struct, frozen=True, kw_only=True):
    """The response to granting or renewing a lease."""

    lease_id: int = 0
    ttl_ms: float


class TransactionResponse(msgspec.Struct, frozen=True):
    """The response to a committed transaction."""

    revision: int


class ExpectedRevision(msgspec.Struct, frozen=True):
    """A transaction's condition; revision 0 means that the key is absent."""

    key: str
    revision: int


class Write(msgspec.Struct, frozen=True):
    """A key to write; `value` is base64, `lease_id` 0 means no lease."""

    key: str
    value: str
    lease_id: int


class Transaction(msgspec.Struct, frozen=True):
    """Conditional writes and removals, applied atomically."""

    expected: list[ExpectedRevision]
    writes: list[Write]
    remove: list[str]


class LeaseRequest(msgspec.Struct, frozen=True):
    """A request for a new lease of `ttl_ms` milliseconds."""

    ttl_ms: int


class PromotionRequest(msgspec.Struct, frozen=True):
    """A request to make the upstream `id` the primary of `service`."""

    service: str
    id: str


def encode_value(value: str) -> str:
    """Encodes a value in base64, as the store expects."""
    return base64.b64encode(value.encode()).decode()


def decode_key(item: Item) -> store_items.StoredKey:
    """Decodes the content of a key written by this system."""
    value = item.decode_value().decode(errors="replace")
    return store_items.StoredKey(value, item.revision, item.lease_id)


def decode_change(item: Item, now: float) -> ports.Change | None:
    """Decodes a changed item; returns None if this system ignores its key."""
    if item.key == ROUTES_KEY:
        return _decode_routes_change(item, now)
    if item.key.startswith(ENTRIES_PREFIX):
        return _decode_entry_change(item)
    if item.key.startswith(store_items.KEY_PREFIX):
        stored = None if item.deleted else decode_key(item)
        return ports.KeyChange(item.key, stored, item.revision)
    return None


def _decode_routes_change(item: Item, now: float) -> ports.Change:
    try:
        return ports.RoutesChange(decode_routes(item.decode_value(), now))
    except errors.DocumentUnreadableError as exc:
        return ports.RoutesChange(None, exc.detail)


def _decode_entry_change(item: Item) -> ports.Change:
    upstream = item.key.removeprefix(ENTRIES_PREFIX)
    if item.deleted:
        return ports.EntryChange(upstream, None)
    try:
        return ports.EntryChange(
            upstream, decode_entry(upstream, item.decode_value())
        )
    except errors.DocumentUnreadableError:
        return ports.EntryChange(upstream, None, readable=False)
