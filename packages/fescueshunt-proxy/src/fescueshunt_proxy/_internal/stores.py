"""The border towards the platform's store and host list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import items

if TYPE_CHECKING:
    import asyncio

    from fescueshunt_proxy._internal import platform, runtime

ANY_VERSION = -1


class Stores:
    """Source and sink of the platform's calls."""

    def __init__(
        self,
        joined: runtime.Runtime,
        store: platform.SettingsStore,
        hosts: platform.HostList,
        tasks: asyncio.TaskGroup,
    ) -> None:
        self._joined = joined
        self._store = store
        self._hosts = hosts
        self._tasks = tasks
        joined.subscribe(items.ReadSettings, self._start_read)
        joined.subscribe(items.SwapSettings, self._start_swap)
        joined.subscribe(items.ReadBack, self._start_read_back)
        joined.subscribe(items.ReadArchive, self._start_read_archive)
        joined.subscribe(items.ReadHosts, self._start_list)

    def _start_read(self, item: items.ReadSettings) -> None:
        self._tasks.create_task(self._read(item))

    def _start_swap(self, item: items.SwapSettings) -> None:
        self._tasks.create_task(self._swap(item))

    def _start_read_back(self, item: items.ReadBack) -> None:
        self._tasks.create_task(self._read_back(item))

    def _start_read_archive(self, item: items.ReadArchive) -> None:
        self._tasks.create_task(self._read_archive(item))

    def _start_list(self, item: items.ReadHosts) -> None:
        self._tasks.create_task(self._list())

    async def _read(self, item: items.ReadSettings) -> None:
        try:
            found, version = await self._store.read(item.above, item.wait_s)
        except errors.FescueshuntError as exc:
            now = self._joined.now()
            self._joined.feed(items.SettingsReadFailed(now, exc))
            return
        now = self._joined.now()
        self._joined.feed(items.SettingsRead(now, found, version))

    async def _swap(self, item: items.SwapSettings) -> None:
        operation = item.document.operation
        try:
            await self._store.archive(item.replaced)
            done, version = await self._store.swap(item.document, item.expected)
        except errors.FescueshuntError as exc:
            now = self._joined.now()
            self._joined.feed(items.SettingsSwapFailed(now, operation, exc))
            return
        now = self._joined.now()
        self._joined.feed(items.SettingsSwapped(now, operation, done, version))

    async def _read_back(self, item: items.ReadBack) -> None:
        try:
            found, _ = await self._store.read(ANY_VERSION, 0.0)
        except errors.FescueshuntError as exc:
            self._fail(item.operation, exc)
            return
        now = self._joined.now()
        self._joined.feed(items.BackRead(now, item.operation, found))

    async def _read_archive(self, item: items.ReadArchive) -> None:
        try:
            found = await self._store.read_archive(item.revision)
        except errors.FescueshuntError as exc:
            self._fail(item.operation, exc)
            return
        now = self._joined.now()
        self._joined.feed(items.ArchiveRead(now, item.operation, found))

    def _fail(self, operation: bytes, error: errors.FescueshuntError) -> None:
        now = self._joined.now()
        self._joined.feed(items.StoreReadFailed(now, operation, error))

    async def _list(self) -> None:
        try:
            hosts = await self._hosts.read()
        except errors.FescueshuntError:
            return
        self._joined.feed(items.HostsRead(self._joined.now(), hosts))
