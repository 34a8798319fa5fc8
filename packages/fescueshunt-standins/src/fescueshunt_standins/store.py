"""Platform stand-in: key-value store, leases, watches and host list."""

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
CONTROL_CALLS = (
    platform.SetFault,
    platform.SetHost,
    platform.ReadCalls,
)


class StoreSettings(pydantic.BaseModel):
    """The settings of the platform stand-in, section [platform].

    Attributes:
      listen: the address to listen on.
      answer_ms: the time before each reply, in milliseconds.
      list_lag_ms: the delay before a changed host entry appears in the host
        list, in milliseconds.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)
    listen: str
    answer_ms: float = pydantic.Field(2.0, ge=0)
    list_lag_ms: float = pydantic.Field(3000.0, ge=0)


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease; `expires_at` is a time of the event loop's clock, in seconds."""

    holder: str
    expires_at: float


class Store:
    """Serves the platform's calls and counts them by message type."""

    def __init__(self, cfg: StoreSettings) -> None:
        self._cfg = cfg
        self._values: dict[str, platform.Found] = {}
        self._leases: dict[str, Lease] = {}
        self._pending_hosts: dict[str, tuple[float, platform.HostEntry]] = {}
        self._visible_hosts: dict[str, platform.HostEntry] = {}
        self._fault = platform.SetFault()
        self._counts: collections.Counter[str] = collections.Counter()
        self._value_changed = asyncio.Condition()

    async def serve(self, conn: transport.Connection) -> None:
        """Serves one connection until it is closed."""
        await channel.serve_calls(conn, self._handle)

    async def _handle(self, message: Any) -> Any:
        if isinstance(message, CONTROL_CALLS):
            return self._handle_control(message)
        self._counts[type(message).__name__] += 1
        if self._fault.down:
            return None
        await asyncio.sleep(self._cfg.answer_ms / 1000 + self._fault.delay_s)
        reply = await self._serve_call(message)
        if isinstance(reply, platform.Swapped) and self._fault.lose_answers:
            remaining = self._fault.lose_answers - 1
            self._fault = dataclasses.replace(
                self._fault, lose_answers=remaining
            )
            return None
        return None if self._fault.down else reply

    def _handle_control(self, message: Any) -> platform.PlatformReply:
        match message:
            case platform.SetFault():
                self._fault = message
            case platform.SetHost():
                visible_at = self._now() + self._cfg.list_lag_ms / 1000
                self._pending_hosts[message.host.name] = (
                    visible_at,
                    message.host,
                )
            case platform.ReadCalls():
                return platform.CallCounts(tuple(self._counts.items()))
        return platform.Done()

    async def _serve_call(self, message: Any) -> platform.PlatformReply:
        match message:
            case platform.Get():
                return await self._get(message)
            case platform.CompareAndSwap():
                return await self._compare_and_swap(message)
            case platform.AcquireLease():
                return self._acquire_lease(message)
            case platform.ListHosts():
                return self._list_hosts()
            case _:
                raise errors.FrameOrderError(type(message).__name__)

    async def _get(self, call: platform.Get) -> platform.Found:
        def is_newer() -> bool:
            return self._current_value(call.key).version > call.above

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(call.wait_s), self._value_changed:
                await self._value_changed.wait_for(is_newer)
        return self._current_value(call.key)

    def _current_value(self, key: str) -> platform.Found:
        return self._values.get(key, platform.Found(0, b""))

    async def _compare_and_swap(
        self, call: platform.CompareAndSwap
    ) -> platform.Swapped:
        version = self._current_value(call.key).version
        if version != call.expected or len(call.value) > MAX_VALUE_BYTES:
            return platform.Swapped(False, version)
        self._values[call.key] = platform.Found(version + 1, call.value)
        async with self._value_changed:
            self._value_changed.notify_all()
        return platform.Swapped(True, version + 1)

    def _acquire_lease(self, call: platform.AcquireLease) -> platform.LeaseHeld:
        lease = self._leases.get(call.key)
        is_free = lease is None or lease.expires_at <= self._now()
        if is_free or lease.holder == call.holder:
            lease = Lease(call.holder, self._now() + call.ttl_s)
            self._leases[call.key] = lease
        return platform.LeaseHeld(lease.holder)

    def _list_hosts(self) -> platform.HostList:
        now = self._now()
        for name, (visible_at, host) in list(self._pending_hosts.items()):
            if visible_at <= now:
                self._visible_hosts[name] = host
                del self._pending_hosts[name]
        return platform.HostList(tuple(self._visible_hosts.values()))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


@contextlib.asynccontextmanager
async def running(cfg: StoreSettings) -> AsyncIterator[str]:
    """Serves the platform stand-in and yields the bound address."""
    store = Store(cfg)
    async with transport.listen(cfg.listen, store.serve) as address:
        yield address


def main(settings: pathlib.Path) -> None:
    """Runs the platform stand-in with the settings of an INI file.

    Args:
      settings: the path of the INI file.
    """
    process.run(settings, "platform", StoreSettings, running)


if __name__ == "__main__":
    process.run_command_line(main)
