"""The clients of the store when it is lost or has dropped its history."""

from __future__ import annotations

import asyncio

import pytest

from fescueshunt import errors
from fescueshunt.core import filters, store_items
from fescueshunt_proxy._internal import runtime
from fescueshunt_proxy._internal.hosted import measures, ports, store_client

WAIT_S = 5.0
KEY = "fescueshunt/x"
LOST = errors.StoreUnavailableError("lost")
GONE = errors.HistoryGoneError
LEASE_ENDED = errors.LeaseEndedError


class _ScriptedStore(ports.Store):
    """A store whose calls succeed or fail as the script says.

    Attributes:
      calls: the names of the calls that were made.
    """

    def __init__(self, *script: Exception | type[Exception] | None) -> None:
        self.calls: list[str] = []
        self.revision = 0
        self._script = list(script)
        self.is_over = asyncio.Event()

    async def _follow_script(self, call: str) -> None:
        if not self._script:
            self.is_over.set()
            await asyncio.Event().wait()
        self.calls.append(call)
        failure = self._script.pop(0)
        if failure is not None:
            raise failure
        self.revision += 1

    async def read_all(self) -> ports.Snapshot:
        await self._follow_script("read_all")
        return ports.Snapshot(None, "", (), {}, {}, 0, self.revision)

    async def watch(self, after: int, wait_s: float) -> ports.Changes:
        await self._follow_script("watch")
        stored = store_items.StoredKey("v", self.revision, 0)
        change = ports.KeyChange(KEY, stored, self.revision)
        return ports.Changes([change], self.revision)

    async def read_key(self, key: str) -> store_items.StoredKey | None:
        await self._follow_script("read_key")
        return None

    async def write_key(
        self,
        key: str,
        value: str | None,
        lease: int,
        expected: int | None,
        guard: store_items.KeyRevision | None = None,
    ) -> int | None:
        await self._follow_script("write_key")
        return self.revision

    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        await self._follow_script("grant_lease")
        return 1, ttl_s

    async def renew_lease(self, lease: int) -> float:
        await self._follow_script("renew_lease")
        return 1.0

    async def end_lease(self, lease: int) -> None:
        await self._follow_script("end_lease")


class _Collect(filters.Filter):
    """Records the items that the clients of the store feed."""

    def __init__(self) -> None:
        self.items: list[filters.Item] = []

    def process(self, item):
        if isinstance(item, filters.Tick):
            yield CALLS[int(item.wall_s)]
        self.items.append(item)


ACCEPTS = (
    filters.Tick,
    store_items.EntriesListed,
    store_items.KeysListed,
    store_items.KeyChanged,
    store_items.KeyRead,
    store_items.KeyWritten,
    store_items.LeaseGranted,
    store_items.LeaseLost,
    store_items.LeaseCallFailed,
)
CALLS = (
    store_items.AskLease(0.0, 1.0),
    store_items.RenewLease(0.0, 1),
    store_items.EndLease(0.0, 1),
    store_items.WriteKey(0.0, KEY, "v", 1, None),
    store_items.ReadKey(0.0, KEY),
)


def _watch(*script: Exception | type[Exception] | None) -> list[str]:
    """Returns the calls of a watcher until the script of the store is over."""

    async def run() -> list[str]:
        core_runtime = runtime.Runtime(
            filters.Core((filters.Pipe((_Collect(),), ACCEPTS),))
        )
        store = _ScriptedStore(*script)
        watcher = store_client.StoreWatcher(
            core_runtime, store, measures.HostMetrics(core_runtime)
        )
        async with asyncio.timeout(WAIT_S), asyncio.TaskGroup() as tasks:
            task = tasks.create_task(watcher.run())
            await store.is_over.wait()
            task.cancel()
        return store.calls

    return asyncio.run(run())


# Failure: the watcher of the store ends, and with it the process and all its
# sessions, or a host stays with what it knew.
def test_watcher_survives_the_loss_of_the_store_and_of_its_history():
    calls = _watch(LOST, None, None, LOST, None, GONE, LOST, None, None, GONE)
    read_all, watch = "read_all", "watch"
    assert calls == [
        *(read_all, read_all),
        *(watch, watch, watch, watch),
        *(read_all, read_all),
        *(watch, watch),
    ]


# Failure: a call to the store that fails ends the process and all its sessions,
# or leaves the filter that asked for it without a result.
@pytest.mark.parametrize(
    ("number", "failure", "result"),
    [
        (0, LOST, store_items.LeaseCallFailed),
        (1, LOST, store_items.LeaseCallFailed),
        (1, LEASE_ENDED, store_items.LeaseLost),
        (2, LOST, None),
        (3, LOST, store_items.KeyWritten),
        (3, LEASE_ENDED, store_items.KeyWritten),
        (4, LOST, store_items.KeyRead),
    ],
)
def test_failed_store_call_has_a_result(number, failure, result):
    collect = _Collect()

    async def run() -> None:
        core_runtime = runtime.Runtime(
            filters.Core((filters.Pipe((collect,), ACCEPTS),))
        )
        async with asyncio.timeout(WAIT_S), asyncio.TaskGroup() as tasks:
            store_client.StoreCallExecutor(
                core_runtime,
                _ScriptedStore(failure),
                None,
                tasks,
                measures.HostMetrics(core_runtime),
            )
            core_runtime.feed(filters.Tick(0.0, number))

    asyncio.run(run())
    results = [type(item) for item in collect.items[1:]]
    assert results == ([result] if result is not None else [])
