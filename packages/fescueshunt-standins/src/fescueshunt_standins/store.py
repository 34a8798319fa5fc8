"""The platform stand-in: key-value store, leases, watches and host list."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import pathlib
from collections.abc import AsyncIterator
from typing import Any

import pydantic

from fescueshunt import errors
from fescueshunt_standins import process
from fescueshunt_wire import channel, platform, transport

MAX_VALUE_BYTES = 1_000_000
STAND_IN_CALLS = (
    platform.SetFault,
    platform.SetHost,
    platform.ReadCalls,
)


class StoreSettings(pydantic.BaseModel):
    """The settings of the platform stand-in, section [platform].

    `list_lag_ms` is how far the host list is behind; milliseconds.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)
    listen: str
    answer_ms: float = pydantic.Field(2.0, ge=0)
    list_lag_ms: float = pydantic.Field(3000.0, ge=0)


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease; `until` is in seconds of the loop's clock."""

    holder: str
    until: float


class Store:
    """Serves the platform's calls and counts every one of them."""

    def __init__(self, cfg: StoreSettings) -> None:
        self._cfg = cfg
        self._values: dict[str, platform.Found] = {}
        self._leases: dict[str, Lease] = {}
        self._hosts: dict[str, tuple[float, platform.HostEntry]] = {}
        self._listed: dict[str, platform.HostEntry] = {}
        self._fault = platform.SetFault()
        self._counts: collections.Counter[str] = collections.Counter()
        self._changed = asyncio.Condition()

    async def serve(self, conn: transport.Connection) -> None:
        """Serves one connection until it ends."""
        await channel.serve_calls(conn, self._handle)

    async def _handle(self, message: Any) -> Any:
        if isinstance(message, STAND_IN_CALLS):
            return self._stand_in(message)
        self._counts[type(message).__name__] += 1
        if self._fault.down:
            return None
        await asyncio.sleep(self._cfg.answer_ms / 1000 + self._fault.delay_s)
        answer = await self._serve_call(message)
        if isinstance(answer, platform.Swapped) and self._fault.lose_answers:
            left = self._fault.lose_answers - 1
            self._fault = dataclasses.replace(self._fault, lose_answers=left)
            return None
        return None if self._fault.down else answer

    def _stand_in(self, message: Any) -> platform.PlatformReply:
        match message:
            case platform.SetFault():
                self._fault = message
            case platform.SetHost():
                due = self._now() + self._cfg.list_lag_ms / 1000
                self._hosts[message.host.name] = (due, message.host)
            case platform.ReadCalls():
                return platform.CallCounts(tuple(self._counts.items()))
        return platform.Done()

    async def _serve_call(self, message: Any) -> platform.PlatformReply:
        match message:
            case platform.Get():
                return await self._get(message)
            case platform.CompareAndSwap():
                return await self._swap(message)
            case platform.AcquireLease():
                return self._acquire(message)
            case platform.ListHosts():
                return self._list()
            case _:
                raise errors.FrameOrderError(type(message).__name__)

    async def _get(self, call: platform.Get) -> platform.Found:
        def is_new() -> bool:
            return self._read(call.key).version > call.above

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(call.wait_s), self._changed:
                await self._changed.wait_for(is_new)
        return self._read(call.key)

    def _read(self, key: str) -> platform.Found:
        return self._values.get(key, platform.Found(0, b""))

    async def _swap(self, call: platform.CompareAndSwap) -> platform.Swapped:
        version = self._read(call.key).version
        if version != call.expected or len(call.value) > MAX_VALUE_BYTES:
            return platform.Swapped(False, version)
        self._values[call.key] = platform.Found(version + 1, call.value)
        async with self._changed:
            self._changed.notify_all()
        return platform.Swapped(True, version + 1)

    def _acquire(self, call: platform.AcquireLease) -> platform.LeaseHeld:
        lease = self._leases.get(call.key)
        free = lease is None or lease.until <= self._now()
        if free or lease.holder == call.holder:
            lease = Lease(call.holder, self._now() + call.ttl_s)
            self._leases[call.key] = lease
        return platform.LeaseHeld(lease.holder)

    def _list(self) -> platform.HostList:
        now = self._now()
        for name, (due, host) in list(self._hosts.items()):
            if due <= now:
                self._listed[name] = host
                del self._hosts[name]
        return platform.HostList(tuple(self._listed.values()))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


@contextlib.asynccontextmanager
async def running(cfg: StoreSettings) -> AsyncIterator[str]:
    """Runs the platform stand-in; yields its address."""
    served = Store(cfg)
    async with transport.listen(cfg.listen, served.serve) as address:
        yield address


def main(settings: pathlib.Path) -> None:
    """Runs the platform stand-in with the INI file `settings`."""
    process.run(settings, "platform", StoreSettings, running)


if __name__ == "__main__":
    process.start(main)
