"""Executes the core's calls to the platform's settings store and host list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import items

if TYPE_CHECKING:
    import asyncio

    from fescueshunt_proxy._internal import platform, runtime

ANY_VERSION = -1


class PlatformCallExecutor:
    """Executes the core's platform calls and feeds it the results."""

    def __init__(
        self,
        core_runtime: runtime.Runtime,
        store: platform.SettingsStore,
        host_list: platform.HostList,
        tasks: asyncio.TaskGroup,
    ) -> None:
        self._runtime = core_runtime
        self._store = store
        self._host_list = host_list
        self._tasks = tasks
        core_runtime.subscribe(items.ReadSettings, self._start_read_settings)
        core_runtime.subscribe(items.SwapSettings, self._start_swap_settings)
        core_runtime.subscribe(items.ReadBack, self._start_read_back)
        core_runtime.subscribe(items.ReadArchive, self._start_read_archive)
        core_runtime.subscribe(items.ReadHosts, self._start_read_hosts)

    def _start_read_settings(self, item: items.ReadSettings) -> None:
        self._tasks.create_task(self._read_settings(item))

    def _start_swap_settings(self, item: items.SwapSettings) -> None:
        self._tasks.create_task(self._swap_settings(item))

    def _start_read_back(self, item: items.ReadBack) -> None:
        self._tasks.create_task(self._read_back(item))

    def _start_read_archive(self, item: items.ReadArchive) -> None:
        self._tasks.create_task(self._read_archive(item))

    def _start_read_hosts(self, item: items.ReadHosts) -> None:
        self._tasks.create_task(self._read_hosts())

    async def _read_settings(self, item: items.ReadSettings) -> None:
        try:
            document, version = await self._store.read(item.above, item.wait_s)
        except errors.FescueshuntError as exc:
            now = self._runtime.now()
            self._runtime.feed(items.SettingsReadFailed(now, exc))
            return
        now = self._runtime.now()
        self._runtime.feed(items.SettingsRead(now, document, version))

    async def _swap_settings(self, item: items.SwapSettings) -> None:
        operation = item.document.operation
        try:
            await self._store.archive(item.replaced)
            replaced, version = await self._store.compare_and_swap(
                item.document, item.expected
            )
        except errors.FescueshuntError as exc:
            now = self._runtime.now()
            self._runtime.feed(items.SettingsSwapFailed(now, operation, exc))
            return
        now = self._runtime.now()
        self._runtime.feed(
            items.SettingsSwapped(now, operation, replaced, version)
        )

    async def _read_back(self, item: items.ReadBack) -> None:
        try:
            document, _ = await self._store.read(ANY_VERSION, 0.0)
        except errors.FescueshuntError as exc:
            self._feed_read_failure(item.operation, exc)
            return
        now = self._runtime.now()
        self._runtime.feed(items.BackRead(now, item.operation, document))

    async def _read_archive(self, item: items.ReadArchive) -> None:
        try:
            document = await self._store.read_archive(item.revision)
        except errors.FescueshuntError as exc:
            self._feed_read_failure(item.operation, exc)
            return
        now = self._runtime.now()
        self._runtime.feed(items.ArchiveRead(now, item.operation, document))

    def _feed_read_failure(
        self, operation: bytes, error: errors.FescueshuntError
    ) -> None:
        now = self._runtime.now()
        self._runtime.feed(items.StoreReadFailed(now, operation, error))

    async def _read_hosts(self) -> None:
        try:
            hosts = await self._host_list.read()
        except errors.FescueshuntError:
            return
        self._runtime.feed(items.HostsRead(self._runtime.now(), hosts))
