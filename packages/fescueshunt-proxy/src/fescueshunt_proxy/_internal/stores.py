"""The border towards the platform's store and host list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import items

if TYPE_CHECKING:
    import asyncio

    from fescueshunt_proxy._internal import platform, runtime


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
        joined.subscribe(items.ReadHosts, self._start_list)

    def _start_read(self, item: items.ReadSettings) -> None:
        self._tasks.create_task(self._read(item))

    def _start_swap(self, item: items.SwapSettings) -> None:
        self._tasks.create_task(self._swap(item))

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
            done, version = await self._store.swap(item.document, item.expected)
        except errors.FescueshuntError as exc:
            now = self._joined.now()
            self._joined.feed(items.SettingsSwapFailed(now, operation, exc))
            return
        now = self._joined.now()
        self._joined.feed(items.SettingsSwapped(now, operation, done, version))

    async def _list(self) -> None:
        try:
            hosts = await self._hosts.read()
        except errors.FescueshuntError:
            return
        self._joined.feed(items.HostsRead(self._joined.now(), hosts))
