"""HTTP client of the platform's key-value store."""

from __future__ import annotations

import contextlib
import urllib.parse
from typing import TYPE_CHECKING

import msgspec

from fescueshunt import errors
from fescueshunt_proxy._internal.hosted import ports
from fescueshunt_proxy.platform import decoding, documents, store_messages
from fescueshunt_wire import http

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from fescueshunt.core import store_items


CALL_TIMEOUT_S = 1.0
# Time allowed for a watch response to arrive after the wait has elapsed.
WATCH_MARGIN_S = 0.75
MS_PER_S = 1000
OK = 200
NOT_FOUND = 404
GONE = 410
CONDITION_FAILED = 412


class HttpStore(ports.Store):
    """Client of the key-value store.

    Watches use a separate HTTP client, and thus separate connections.
    """

    def __init__(
        self,
        client: http.Client,
        watch_client: http.Client,
        now: Callable[[], float],
    ) -> None:
        self._client = client
        self._watch_client = watch_client
        self._now = now

    async def read_all(self) -> ports.Snapshot:
        """Reads the store page by page.

        The revision of the snapshot is that of the first page, so that a watch
        from there covers changes made while later pages were read.
        """
        items: list[store_messages.Item] = []
        skipped_count = 0
        revision: int | None = None
        after = ""
        while True:
            page, skipped = await self._read_page(after)
            items += page.items
            skipped_count += skipped
            revision = page.as_of if revision is None else revision
            if not page.more_pages or not page.items:
                break
            after = page.items[-1].key
        return self._build_snapshot(items, skipped_count, revision)

    async def watch(self, after: int, wait_s: float) -> ports.Changes:
        """Waits for changes after revision `after`."""
        query = {
            "prefix": "",
            "after": after,
            "wait_ms": int(wait_s * MS_PER_S),
        }
        response = await self._send(
            self._watch_client,
            "GET",
            f"/kv-watch?{urllib.parse.urlencode(query)}",
            timeout_s=wait_s + WATCH_MARGIN_S,
        )
        if response.status == GONE:
            raise errors.HistoryGoneError
        events, skipped_count = _decode_list(
            store_messages.WatchResponse, response
        )
        now = self._now()
        decoded = (
            documents.decode_change(event, now) for event in events.events
        )
        changes = [change for change in decoded if change is not None]
        return ports.Changes(changes, events.as_of, skipped_count)

    async def read_key(self, key: str) -> store_items.StoredKey | None:
        """Returns the current content of `key`, or None if it is absent."""
        query = urllib.parse.urlencode({"key": key})
        response = await self._send(self._client, "GET", f"/kv-key?{query}")
        if response.status == NOT_FOUND:
            return None
        return documents.decode_key(
            _decode_body(store_messages.ItemResponse, response)
        )

    async def write_key(
        self,
        key: str,
        value: str | None,
        lease: int,
        expected: int | None,
        guard: store_items.KeyRevision | None = None,
    ) -> int | None:
        """Writes or removes a key, if its revision is as expected."""
        body = store_messages.Transaction([], [], [])
        if expected is not None:
            body.expected.append(store_messages.ExpectedRevision(key, expected))
        if guard is not None:
            body.expected.append(
                store_messages.ExpectedRevision(guard.key, guard.revision)
            )
        if value is None:
            body.remove.append(key)
        else:
            data = store_messages.encode_value(value)
            body.writes.append(store_messages.Write(key, data, lease))
        response = await self._send(self._client, "POST", "/kv-txn", body)
        if response.status == CONDITION_FAILED:
            return None
        if response.status == NOT_FOUND:
            raise errors.LeaseEndedError
        return _decode_body(
            store_messages.TransactionResponse, response
        ).revision

    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """Returns the id of a new lease and its duration in seconds."""
        body = store_messages.LeaseRequest(int(ttl_s * MS_PER_S))
        response = await self._send(self._client, "POST", "/kv-lease", body)
        lease = _decode_body(store_messages.LeaseResponse, response)
        return lease.lease_id, lease.ttl_ms / MS_PER_S

    async def renew_lease(self, lease: int) -> float:
        """Renews a lease and returns its duration in seconds."""
        response = await self._send(self._client, "POST", f"/kv-keep/{lease}")
        if response.status == NOT_FOUND:
            raise errors.LeaseEndedError
        return (
            _decode_body(store_messages.LeaseResponse, response).ttl_ms
            / MS_PER_S
        )

    async def end_lease(self, lease: int) -> None:
        """Ends a lease, and with it the keys attached to it."""
        await self._send(self._client, "DELETE", f"/kv-lease-end/{lease}")

    async def _read_page(
        self, after: str
    ) -> tuple[store_messages.ItemPage, int]:
        query = {"prefix": "", "after": after} if after else {"prefix": ""}
        response = await self._send(
            self._client, "GET", f"/kv-range?{urllib.parse.urlencode(query)}"
        )
        return _decode_list(store_messages.ItemPage, response)

    async def _send(
        self,
        client: http.Client,
        method: str,
        target: str,
        body: msgspec.Struct | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> http.Response:
        data = msgspec.json.encode(body) if body is not None else b""
        try:
            return await client.call(method, target, timeout_s, data)
        except errors.ConnectionLostError as exc:
            raise errors.StoreUnavailableError(exc.detail) from exc

    def _build_snapshot(
        self,
        items: list[store_messages.Item],
        skipped_count: int,
        revision: int,
    ) -> ports.Snapshot:
        now = self._now()
        routes, problem, entries, keys, unusable = None, "", [], {}, {}
        for item in items:
            match documents.decode_change(item, now):
                case ports.RoutesChange() as change:
                    routes, problem = change.routes, change.problem
                case ports.EntryChange() as change if change.entry:
                    entries.append(change.entry)
                case ports.EntryChange() as change:
                    unusable[change.upstream] = change.problem
                case ports.KeyChange() as change:
                    keys[change.key] = change.stored
        return ports.Snapshot(
            routes,
            problem,
            tuple(entries),
            keys,
            unusable,
            skipped_count,
            revision,
        )


@contextlib.contextmanager
def connected(address: str, now: Callable[[], float]) -> Iterator[HttpStore]:
    """Yields a store client; closes its connections when the context exits.

    Args:
      address: the address of the store.
      now: returns the time on the local clock, in seconds.
    """
    with (
        http.open_client(address) as client,
        http.open_client(address) as watch_client,
    ):
        yield HttpStore(client, watch_client, now)


def _decode_body(
    model: type[decoding.DocumentT], response: http.Response
) -> decoding.DocumentT:
    """Decodes the body of a successful response."""
    with _checking(response):
        return decoding.decode(model, response.body)


def _decode_list(
    model: type[store_messages.ItemListT], response: http.Response
) -> tuple[store_messages.ItemListT, int]:
    """Decodes a list in the body of a successful response.

    Returns:
      The list, and the number of its items that can't be decoded.
    """
    with _checking(response):
        return store_messages.decode_item_list(model, response.body)


@contextlib.contextmanager
def _checking(response: http.Response) -> Iterator[None]:
    """Checks a response whose body is decoded within the context.

    Raises:
      StoreUnavailableError: if the status is not 200 or the body is invalid.
    """
    if response.status != OK:
        raise errors.StoreUnavailableError(f"status {response.status}")
    try:
        yield
    except errors.DocumentUnreadableError as exc:
        raise errors.StoreUnavailableError(
            "invalid answer from the store"
        ) from exc
