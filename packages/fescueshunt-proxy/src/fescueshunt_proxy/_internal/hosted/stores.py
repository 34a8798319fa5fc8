"""Joins the platform's store to the core: its changes, leases and keys."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from fescueshunt import errors
from fescueshunt.core import store_items
from fescueshunt.routing import items as routing_items
from fescueshunt_proxy._internal.hosted import ports

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from fescueshunt_proxy._internal import runtime
    from fescueshunt_proxy._internal.hosted import measures

WATCH_WAIT_S = 2.5
# News often comes in groups; a short wait takes several with one call.
GATHER_S = 0.03
FIRST_PAUSE_S = 0.05
MAX_PAUSE_S = 0.5


class Watcher:
    """Follows the store's changes for as long as it runs."""

    def __init__(
        self,
        joined: runtime.Runtime,
        store: ports.Store,
        measured: measures.Measures,
    ) -> None:
        self._joined = joined
        self._store = store
        self._measured = measured
        self._logger = structlog.get_logger(__name__)
        self._pause_s = FIRST_PAUSE_S
        self._lost = False

    async def run(self) -> None:
        """Reads everything, then watches; reads again if history is gone."""
        while True:
            revision = await self._read_all()
            await self._watch(revision)

    async def _read_all(self) -> int:
        while True:
            try:
                snapshot = await self._store.read_all()
            except errors.StoreUnavailableError as exc:
                await self._wait(exc)
            else:
                self._answered()
                self._publish(snapshot)
                return snapshot.revision

    async def _watch(self, revision: int) -> None:
        while True:
            try:
                changes = await self._store.watch(revision, WATCH_WAIT_S)
            except errors.HistoryGoneError:
                self._logger.info("history_gone", revision=revision)
                return
            except errors.StoreUnavailableError as exc:
                await self._wait(exc)
            else:
                self._answered()
                revision = changes.revision
                for change in changes.changes:
                    self._feed(change)
                if changes.changes:
                    await asyncio.sleep(GATHER_S)

    async def _wait(self, exc: errors.FescueshuntError) -> None:
        if not self._lost:
            self._lost = True
            self._measured.count("store_losses")
            self._logger.info("store_lost", error=str(exc))
        await asyncio.sleep(self._pause_s)
        self._pause_s = min(self._pause_s * 2, MAX_PAUSE_S)

    def _answered(self) -> None:
        self._pause_s = FIRST_PAUSE_S
        if self._lost:
            self._lost = False
            self._logger.info("store_regained")

    def _publish(self, snapshot: ports.Snapshot) -> None:
        now = self._joined.now()
        if snapshot.routes is not None or snapshot.routes_problem:
            problem = snapshot.routes_problem
            self._feed(ports.RoutesChange(snapshot.routes, problem))
        if snapshot.unreadable:
            self._measured.count("entries_unreadable", snapshot.unreadable)
            self._logger.info("entries_unreadable", count=snapshot.unreadable)
        self._joined.feed(store_items.EntriesListed(now, snapshot.entries))
        self._joined.feed(
            store_items.KeysListed(now, snapshot.keys, snapshot.revision)
        )

    def _feed(self, change: ports.Change) -> None:
        now = self._joined.now()
        match change:
            case ports.RoutesChange() if change.routes is not None:
                item = routing_items.RoutesRead(now, change.routes)
            case ports.RoutesChange():
                item = routing_items.RoutesUnreadable(now, change.problem)
            case ports.EntryChange() if change.entry is not None:
                item = store_items.EntryChanged(now, change.entry)
            case ports.EntryChange():
                if not change.readable:
                    self._measured.count("entries_unreadable")
                    self._logger.info(
                        "entry_unreadable", upstream=change.upstream
                    )
                item = store_items.EntryRemoved(now, change.upstream)
            case ports.KeyChange():
                item = store_items.KeyChanged(
                    now, change.key, change.stored, change.revision
                )
        self._joined.feed(item)


class StoreCalls:
    """Carries out the core's calls to the store and to promote."""

    def __init__(
        self,
        joined: runtime.Runtime,
        store: ports.Store,
        promotions: ports.Promotions,
        tasks: asyncio.TaskGroup,
        measured: measures.Measures,
    ) -> None:
        self._joined = joined
        self._store = store
        self._promotions = promotions
        self._tasks = tasks
        self._measured = measured
        joined.subscribe(store_items.AskLease, self._on(self._ask))
        joined.subscribe(store_items.RenewLease, self._on(self._renew))
        joined.subscribe(store_items.EndLease, self._on(self._end))
        joined.subscribe(store_items.WriteKey, self._on(self._write))
        joined.subscribe(store_items.ReadKey, self._on(self._read))
        joined.subscribe(store_items.CallPromotion, self._on(self._promote))

    def _on(self, call: object) -> object:
        def start(item: object) -> None:
            kind = type(item).__name__
            self._tasks.create_task(self._carry_out(kind, call(item)))

        return start

    async def _carry_out(
        self, kind: str, call: Coroutine[None, None, object]
    ) -> None:
        sent_at = self._joined.now()
        answer = await call
        took_s = self._joined.now() - sent_at
        self._measured.record("platform_call", took_s, call=kind)
        if answer is not None:
            self._joined.feed(answer)

    async def _ask(self, item: store_items.AskLease) -> object:
        sent_at = self._joined.now()
        try:
            lease, ttl_s = await self._store.grant_lease(item.ttl_s)
        except errors.StoreUnavailableError:
            return store_items.LeaseCallFailed(self._joined.now(), 0)
        now = self._joined.now()
        return store_items.LeaseGranted(now, lease, sent_at, ttl_s)

    async def _renew(self, item: store_items.RenewLease) -> object:
        sent_at = self._joined.now()
        try:
            ttl_s = await self._store.renew_lease(item.lease)
        except errors.LeaseEndedError:
            return store_items.LeaseLost(self._joined.now(), item.lease)
        except errors.StoreUnavailableError:
            now = self._joined.now()
            return store_items.LeaseCallFailed(now, item.lease)
        now = self._joined.now()
        return store_items.LeaseGranted(now, item.lease, sent_at, ttl_s)

    async def _end(self, item: store_items.EndLease) -> object:
        try:
            await self._store.end_lease(item.lease)
        except errors.StoreUnavailableError as exc:
            structlog.get_logger(__name__).info(
                "lease_left_to_end", lease=item.lease, error=str(exc)
            )

    async def _write(self, item: store_items.WriteKey) -> object:
        done: bool | None = None
        revision = 0
        try:
            written = await self._store.write_key(
                item.key, item.value, item.lease, item.expected
            )
            done, revision = written is not None, written or 0
        except errors.LeaseEndedError:
            done = False
        except errors.StoreUnavailableError:
            done = None
        now = self._joined.now()
        return store_items.KeyWritten(now, item.key, done, revision)

    async def _read(self, item: store_items.ReadKey) -> object:
        sent_at = self._joined.now()
        try:
            stored = await self._store.read_key(item.key)
        except errors.StoreUnavailableError:
            now = self._joined.now()
            return store_items.KeyRead(now, item.key, sent_at, False, None)
        now = self._joined.now()
        return store_items.KeyRead(now, item.key, sent_at, True, stored)

    async def _promote(self, item: store_items.CallPromotion) -> object:
        done: bool | None = None
        try:
            detail = await self._promotions.promote(
                item.database, item.upstream, item.holder, item.token
            )
            done = not detail
        except errors.ConnectionLostError as exc:
            detail = exc.detail
        return store_items.PromotionCompleted(
            self._joined.now(), item.database, item.upstream, done, detail
        )
