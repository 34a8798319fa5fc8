"""Messages of the platform's store and its promotion service."""

from __future__ import annotations

import base64
import binascii
import json
from typing import TypeVar

import msgspec

from fescueshunt import errors
from fescueshunt.core import digits
from fescueshunt_proxy.platform import decoding


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


ItemListT = TypeVar("ItemListT", ItemPage, WatchResponse)
_ITEMS_FIELD: dict[type, str] = {ItemPage: "items", WatchResponse: "events"}


def decode_item_list(
    model: type[ItemListT], data: bytes
) -> tuple[ItemListT, int]:
    """Decodes a page of items or the changes since a revision.

    Returns:
      The list, and the number of items left out as they can't be decoded. Any
      program may have written their keys.

    Raises:
      DocumentUnreadableError: if there is no such list in `data`.
    """
    try:
        return decoding.decode(model, data), 0
    except errors.DocumentUnreadableError:
        return _decode_readable_items(model, data)


def _decode_readable_items(
    model: type[ItemListT], data: bytes
) -> tuple[ItemListT, int]:
    field = _ITEMS_FIELD[model]
    try:
        raw = json.loads(
            data.decode(errors="surrogateescape"),
            parse_int=digits.parse_number,
        )
        listed = raw[field]
        raw[field] = [each for each in listed if _is_item(each)]
        return msgspec.convert(raw, model), len(listed) - len(raw[field])
    except (
        ValueError,
        KeyError,
        TypeError,
        RecursionError,
        msgspec.MsgspecError,
    ) as exc:
        raise errors.DocumentUnreadableError(str(exc)) from exc


def _is_item(raw: object) -> bool:
    """Returns whether a JSON value is an item, in a key of valid characters."""
    try:
        decoding.decode(Item, msgspec.json.encode(raw))
    except (errors.DocumentUnreadableError, UnicodeEncodeError):
        return False
    return True


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
