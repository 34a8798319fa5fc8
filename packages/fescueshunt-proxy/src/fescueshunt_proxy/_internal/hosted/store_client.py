"""Connects the core to the platform's store: changes, leases and keys."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from fescueshunt import errors
from fescueshunt.core import store_items
from fescueshunt.routing import items as routing_items
from fescueshunt_proxy._internal.hosted import ports, unusable_entries

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from fescueshunt_proxy._internal import runtime
    from fescueshunt_proxy._internal.hosted import measures

WATCH_WAIT_S = 2.5
# Changes often come in bursts; after this delay one watch call returns several.
# Each change costs a call of every host, so the delay grows with their number.
BATCH_DELAY_S = 0.03
HOSTS_PER_BATCH_DELAY = 10
MAX_BATCH_DELAY_S = 0.2
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5


class StoreWatcher:
    """Reads the store and feeds its changes to the core until cancelled."""

    def __init__(
        self,
        core_runtime: runtime.Runtime,
        store: ports.Store,
        metrics_recorder: measures.HostMetrics,
    ) -> None:
        self._runtime = core_runtime
        self._store = store
        self._metrics = metrics_recorder
        self._unusable = unusable_entries.UnusableEntries(metrics_recorder)
        self._logger = structlog.get_logger(__name__)
        self._backoff_s = INITIAL_BACKOFF_S
        self._is_store_down = False
        self._batch_delay_s = BATCH_DELAY_S
        core_runtime.subscribe(
            store_items.LiveHostsView, self._update_batch_delay
        )

    def _update_batch_delay(self, view: store_items.LiveHostsView) -> None:
        factor = max(len(view.names) / HOSTS_PER_BATCH_DELAY, 1.0)
        self._batch_delay_s = min(BATCH_DELAY_S * factor, MAX_BATCH_DELAY_S)

    async def run(self) -> None:
        """Reads a snapshot, then watches for changes.

        Starts again with a snapshot if the store no longer has the history
        since the last revision seen.
        """
        while True:
            revision = await self._read_all()
            await self._watch(revision)

    async def _read_all(self) -> int:
        while True:
            try:
                snapshot = await self._store.read_all()
            except errors.StoreUnavailableError as exc:
                await self._back_off(exc)
            else:
                self._record_success()
                self._feed_snapshot(snapshot)
                return snapshot.revision

    async def _watch(self, revision: int) -> None:
        while True:
            try:
                changes = await self._store.watch(revision, WATCH_WAIT_S)
            except errors.HistoryGoneError:
                self._logger.info("history_gone", revision=revision)
                return
            except errors.StoreUnavailableError as exc:
                await self._back_off(exc)
            else:
                self._record_success()
                revision = changes.revision
                self._unusable.record_skipped(changes.skipped_count)
                for change in changes.changes:
                    self._feed_change(change)
                if changes.changes:
                    await asyncio.sleep(self._batch_delay_s)

    async def _back_off(self, exc: errors.FescueshuntError) -> None:
        if not self._is_store_down:
            self._is_store_down = True
            self._metrics.count("store_losses")
            self._logger.info("store_lost", error=str(exc))
        await asyncio.sleep(self._backoff_s)
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    def _record_success(self) -> None:
        self._backoff_s = INITIAL_BACKOFF_S
        if self._is_store_down:
            self._is_store_down = False
            self._logger.info("store_regained")

    def _feed_snapshot(self, snapshot: ports.Snapshot) -> None:
        now = self._runtime.now()
        if snapshot.routes is not None or snapshot.routes_problem:
            problem = snapshot.routes_problem
            self._feed_change(ports.RoutesChange(snapshot.routes, problem))
        self._unusable.replace(snapshot.unusable)
        self._unusable.record_skipped(snapshot.skipped_count)
        self._runtime.feed(store_items.EntriesListed(now, snapshot.entries))
        self._runtime.feed(
            store_items.KeysListed(now, snapshot.keys, snapshot.revision)
        )

    def _feed_change(self, change: ports.Change) -> None:
        now = self._runtime.now()
        match change:
            case ports.RoutesChange() if change.routes is not None:
                item = routing_items.RoutesRead(now, change.routes)
            case ports.RoutesChange():
                item = routing_items.RoutesUnreadable(now, change.problem)
            case ports.EntryChange():
                self._unusable.update(change.upstream, change.problem)
                if change.entry is not None:
                    item = store_items.EntryChanged(now, change.entry)
                else:
                    item = store_items.EntryRemoved(now, change.upstream)
            case ports.KeyChange():
                item = store_items.KeyChanged(
                    now, change.key, change.stored, change.revision
                )
        self._runtime.feed(item)


class StoreCallExecutor:
    """Executes the core's calls to the store and its promotion calls."""

    def __init__(
        self,
        core_runtime: runtime.Runtime,
        store: ports.Store,
        promotions: ports.PromotionClient,
        tasks: asyncio.TaskGroup,
        metrics_recorder: measures.HostMetrics,
    ) -> None:
        self._runtime = core_runtime
        self._store = store
        self._promotions = promotions
        self._tasks = tasks
        self._metrics = metrics_recorder
        core_runtime.subscribe(
            store_items.AskLease, self._in_new_task(self._grant_lease)
        )
        core_runtime.subscribe(
            store_items.RenewLease, self._in_new_task(self._renew_lease)
        )
        core_runtime.subscribe(
            store_items.EndLease, self._in_new_task(self._end_lease)
        )
        core_runtime.subscribe(
            store_items.WriteKey, self._in_new_task(self._write_key)
        )
        core_runtime.subscribe(
            store_items.ReadKey, self._in_new_task(self._read_key)
        )
        core_runtime.subscribe(
            store_items.CallPromotion, self._in_new_task(self._promote)
        )

    def _in_new_task(self, call: object) -> object:
        def start(item: object) -> None:
            kind = type(item).__name__
            self._tasks.create_task(self._execute(kind, call(item)))

        return start

    async def _execute(
        self, kind: str, call: Coroutine[None, None, object]
    ) -> None:
        sent_at = self._runtime.now()
        answer = await call
        duration_s = self._runtime.now() - sent_at
        self._metrics.record("platform_call", duration_s, call=kind)
        if answer is not None:
            self._runtime.feed(answer)

    async def _grant_lease(self, item: store_items.AskLease) -> object:
        sent_at = self._runtime.now()
        try:
            lease, ttl_s = await self._store.grant_lease(item.ttl_s)
        except errors.StoreUnavailableError:
            return store_items.LeaseCallFailed(self._runtime.now(), 0)
        now = self._runtime.now()
        return store_items.LeaseGranted(now, lease, sent_at, ttl_s)

    async def _renew_lease(self, item: store_items.RenewLease) -> object:
        sent_at = self._runtime.now()
        try:
            ttl_s = await self._store.renew_lease(item.lease)
        except errors.LeaseEndedError:
            return store_items.LeaseLost(self._runtime.now(), item.lease)
        except errors.StoreUnavailableError:
            now = self._runtime.now()
            return store_items.LeaseCallFailed(now, item.lease)
        now = self._runtime.now()
        return store_items.LeaseGranted(now, item.lease, sent_at, ttl_s)

    async def _end_lease(self, item: store_items.EndLease) -> object:
        try:
            await self._store.end_lease(item.lease)
        except errors.StoreUnavailableError as exc:
            structlog.get_logger(__name__).info(
                "lease_left_to_end", lease=item.lease, error=str(exc)
            )

    async def _write_key(self, item: store_items.WriteKey) -> object:
        done: bool | None = None
        revision = 0
        try:
            written_revision = await self._store.write_key(
                item.key, item.value, item.lease, item.expected, item.guard
            )
            done, revision = written_revision is not None, written_revision or 0
        except errors.LeaseEndedError:
            done = False
        except errors.StoreUnavailableError:
            done = None
        now = self._runtime.now()
        return store_items.KeyWritten(now, item.key, done, revision, item)

    async def _read_key(self, item: store_items.ReadKey) -> object:
        sent_at = self._runtime.now()
        try:
            stored = await self._store.read_key(item.key)
        except errors.StoreUnavailableError:
            now = self._runtime.now()
            return store_items.KeyRead(now, item.key, sent_at, False, None)
        now = self._runtime.now()
        return store_items.KeyRead(now, item.key, sent_at, True, stored)

    async def _promote(self, item: store_items.CallPromotion) -> object:
        done: bool | None = None
        try:
            detail = await self._promotions.promote(
                item.database,
                item.upstream,
                item.holder,
                item.token,
                lambda: self._runtime.now() <= item.send_before,
            )
            done = not detail
        except errors.CallNotSentError as exc:
            done, detail = False, str(exc)
        except errors.ConnectionLostError as exc:
            detail = exc.detail
        return store_items.PromotionCompleted(
            self._runtime.now(), item.database, item.upstream, done, detail
        )
