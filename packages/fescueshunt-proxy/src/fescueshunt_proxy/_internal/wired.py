"""The platform over our own frames, as the stand-ins speak them."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING, Any

from fescueshunt import errors
from fescueshunt.core import document, identity, items, upstream
from fescueshunt_proxy._internal import platform
from fescueshunt_wire import channel, codec, first_settings
from fescueshunt_wire import platform as messages

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

OPEN_TIMEOUT_S = 2.0
STORE_TIMEOUT_S = 1.0
ARCHIVE_PLACES = 64


class WiredSession(platform.Session):
    """A connection for statements over a channel."""

    def __init__(self, calls: channel.Channel) -> None:
        self._calls = calls

    async def execute(
        self, call: upstream.Call, timeout_s: float
    ) -> upstream.Reply:
        """Sends `call` and returns its reply."""
        return await self._calls.call(call, timeout_s)

    async def wait_closed(self) -> None:
        """Returns once the connection has ended."""
        await self._calls.wait_closed()


@dataclasses.dataclass(slots=True)
class SharedChannel:
    """A channel that many calls share; `ready` is it, or why there is none."""

    ready: asyncio.Future[channel.Channel]
    dropped: asyncio.Event


class Channels:
    """Shared channels by address, opened by need and dropped in doubt."""

    def __init__(self, tasks: asyncio.TaskGroup) -> None:
        self._tasks = tasks
        self._shared: dict[str, SharedChannel] = {}

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        """Sends `message` to `address` and returns the answer.

        Raises:
          ConnectionLostError: if no answer comes within `timeout_s` seconds.
            The channel is dropped, and the next call opens a new one.
        """
        shared = self._shared.get(address) or self._open(address)
        try:
            async with asyncio.timeout(timeout_s):
                calls = await asyncio.shield(shared.ready)
                return await calls.call(message, timeout_s)
        except TimeoutError as exc:
            self._drop(address, shared)
            raise errors.ConnectionLostError("timeout") from exc
        except errors.ConnectionLostError:
            self._drop(address, shared)
            raise

    def _open(self, address: str) -> SharedChannel:
        fut = asyncio.get_running_loop().create_future()
        shared = SharedChannel(fut, asyncio.Event())
        self._shared[address] = shared
        self._tasks.create_task(self._hold(address, shared))
        return shared

    async def _hold(self, address: str, shared: SharedChannel) -> None:
        try:
            async with channel.connect(address) as calls:
                shared.ready.set_result(calls)
                await shared.dropped.wait()
        except errors.FescueshuntError as exc:
            self._drop(address, shared)
            shared.ready.set_exception(exc)
            shared.ready.exception()

    def _drop(self, address: str, shared: SharedChannel) -> None:
        shared.dropped.set()
        if self._shared.get(address) is shared:
            del self._shared[address]


class WiredUpstreams(platform.Upstreams):
    """Upstreams that speak our frames."""

    def __init__(self, me: identity.Identity, channels: Channels) -> None:
        self._hello = upstream.Hello(me.name, me.zone)
        self._channels = channels

    @contextlib.asynccontextmanager
    async def connect(self, address: str) -> AsyncIterator[platform.Session]:
        """Opens a connection for statements."""
        async with channel.connect(address) as calls:
            reply = await calls.call(self._hello, OPEN_TIMEOUT_S)
            if not isinstance(reply, upstream.Welcome):
                raise errors.OverloadedError(address)
            yield WiredSession(calls)

    async def control(
        self, address: str, call: upstream.Call, timeout_s: float
    ) -> upstream.Reply:
        """Sends a control call over the shared channel of `address`."""
        return await self._channels.call(address, call, timeout_s)


class WiredStore(platform.SettingsStore):
    """The settings under one key of the platform's store."""

    def __init__(self, address: str, channels: Channels) -> None:
        self._address = address
        self._channels = channels

    async def read(
        self, above: int, wait_s: float
    ) -> tuple[document.Document, int]:
        """Returns the document and its version."""
        call = messages.Get(first_settings.SETTINGS_KEY, above, wait_s)
        found = await self._call(call, wait_s + STORE_TIMEOUT_S)
        return codec.decode_document(found.value), found.version

    async def swap(
        self, value: document.Document, expected: int
    ) -> tuple[bool, int]:
        """Sets the document if its version is `expected`."""
        data = codec.encode_document(value)
        call = messages.CompareAndSwap(
            first_settings.SETTINGS_KEY, expected, data
        )
        swapped = await self._call(call, STORE_TIMEOUT_S)
        return swapped.done, swapped.version

    async def archive(self, value: document.Document) -> None:
        """Keeps an accepted document.

        The revisions share ARCHIVE_PLACES keys in turn, so that the version
        of a key tells how many revisions were kept there.
        """
        kept_before = (value.revision - 1) // ARCHIVE_PLACES
        data = codec.encode_document(value)
        key = _archive_key(value.revision)
        call = messages.CompareAndSwap(key, kept_before, data)
        await self._call(call, STORE_TIMEOUT_S)

    async def read_archive(self, revision: int) -> document.Document:
        """Returns the document in the archive's place for `revision`."""
        call = messages.Get(_archive_key(revision))
        found = await self._call(call, STORE_TIMEOUT_S)
        return codec.decode_document(found.value)

    async def _call(self, call: Any, timeout_s: float) -> Any:
        return await _call_platform(
            self._channels, self._address, call, timeout_s
        )


class WiredHostList(platform.HostList):
    """The platform's host list."""

    def __init__(self, address: str, channels: Channels) -> None:
        self._address = address
        self._channels = channels

    async def read(self) -> tuple[items.Host, ...]:
        """Returns the proxies on the list."""
        listed = await _call_platform(
            self._channels,
            self._address,
            messages.ListHosts(),
            STORE_TIMEOUT_S,
        )
        return tuple(
            items.Host(host.name, host.zone, host.address, host.leaving)
            for host in listed.hosts
        )


def _archive_key(revision: int) -> str:
    return f"{first_settings.SETTINGS_KEY}/{(revision - 1) % ARCHIVE_PLACES}"


async def _call_platform(
    channels: Channels, address: str, call: Any, timeout_s: float
) -> Any:
    try:
        return await channels.call(address, call, timeout_s)
    except errors.ConnectionLostError as exc:
        raise errors.StoreUnavailableError(exc.detail) from exc
