"""Clients of the platform services, over the wire protocol of the stand-ins."""

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
ARCHIVE_SLOTS = 64


class WireSession(platform.Session):
    """An upstream connection for statements, over a dedicated channel."""

    def __init__(self, open_channel: channel.Channel) -> None:
        self._channel = open_channel

    async def execute(
        self, call: upstream.Call, timeout_s: float
    ) -> upstream.Reply:
        """Sends `call` and returns the reply to it."""
        return await self._channel.call(call, timeout_s)

    async def wait_closed(self) -> None:
        """Waits until the connection has ended."""
        await self._channel.wait_closed()


@dataclasses.dataclass(slots=True)
class SharedChannel:
    """A channel that is shared by concurrent calls.

    Attributes:
      ready: resolves to the open channel, or fails if it can't be opened.
      dropped: set to close the channel.
    """

    ready: asyncio.Future[channel.Channel]
    dropped: asyncio.Event


class ChannelPool:
    """Keeps one shared channel per address.

    A channel is opened on demand, and closed if a call on it gets no answer.
    """

    def __init__(self, tasks: asyncio.TaskGroup) -> None:
        self._tasks = tasks
        self._shared: dict[str, SharedChannel] = {}

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        """Sends `message` to `address` and returns the answer.

        Raises:
          ConnectionLostError: if no answer arrives within `timeout_s` seconds.
            The channel is then closed, and the next call opens a new one.
        """
        shared = self._shared.get(address) or self._open(address)
        try:
            async with asyncio.timeout(timeout_s):
                open_channel = await asyncio.shield(shared.ready)
                return await open_channel.call(message, timeout_s)
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
        self._tasks.create_task(self._run_channel(address, shared))
        return shared

    async def _run_channel(self, address: str, shared: SharedChannel) -> None:
        try:
            async with channel.connect(address) as open_channel:
                shared.ready.set_result(open_channel)
                await shared.dropped.wait()
        except errors.FescueshuntError as exc:
            self._drop(address, shared)
            shared.ready.set_exception(exc)
            shared.ready.exception()

    def _drop(self, address: str, shared: SharedChannel) -> None:
        shared.dropped.set()
        if self._shared.get(address) is shared:
            del self._shared[address]


class WireUpstreams(platform.Upstreams):
    """Connects to upstreams that implement the wire protocol."""

    def __init__(
        self, local_proxy: identity.Identity, channel_pool: ChannelPool
    ) -> None:
        self._hello = upstream.Hello(local_proxy.name, local_proxy.zone)
        self._channel_pool = channel_pool

    @contextlib.asynccontextmanager
    async def connect(self, address: str) -> AsyncIterator[platform.Session]:
        """Opens a connection for statements to the upstream at `address`.

        Raises:
          ConnectionLostError: if the upstream can't be reached.
          OverloadedError: if the upstream's connection limit is reached.
        """
        async with channel.connect(address) as open_channel:
            reply = await open_channel.call(self._hello, OPEN_TIMEOUT_S)
            if not isinstance(reply, upstream.Welcome):
                raise errors.OverloadedError(address)
            yield WireSession(open_channel)

    async def control(
        self, address: str, call: upstream.Call, timeout_s: float
    ) -> upstream.Reply:
        """Sends a control call over the shared channel to `address`."""
        return await self._channel_pool.call(address, call, timeout_s)


class WireSettingsStore(platform.SettingsStore):
    """Stores the settings document under one key of the platform's store."""

    def __init__(self, address: str, channel_pool: ChannelPool) -> None:
        self._address = address
        self._channel_pool = channel_pool

    async def read(
        self, above_version: int, wait_s: float
    ) -> tuple[document.Document, int]:
        """Returns the document and its version."""
        call = messages.Get(first_settings.SETTINGS_KEY, above_version, wait_s)
        stored = await self._call(call, wait_s + STORE_TIMEOUT_S)
        return codec.decode_document(stored.value), stored.version

    async def compare_and_swap(
        self, settings_document: document.Document, expected_version: int
    ) -> tuple[bool, int]:
        """Replaces the document if its version is `expected_version`."""
        encoded_document = codec.encode_document(settings_document)
        call = messages.CompareAndSwap(
            first_settings.SETTINGS_KEY, expected_version, encoded_document
        )
        swapped = await self._call(call, STORE_TIMEOUT_S)
        return swapped.done, swapped.version

    async def archive(self, settings_document: document.Document) -> None:
        """Archives an accepted document, overwriting a much older one.

        Successive revisions use `ARCHIVE_SLOTS` keys in turn, so the version of
        a key is the number of revisions that were archived under it.
        """
        key_version = (settings_document.revision - 1) // ARCHIVE_SLOTS
        encoded_document = codec.encode_document(settings_document)
        key = _archive_key(settings_document.revision)
        call = messages.CompareAndSwap(key, key_version, encoded_document)
        await self._call(call, STORE_TIMEOUT_S)

    async def read_archive(self, revision: int) -> document.Document:
        """Returns the document in the archive slot of `revision`."""
        call = messages.Get(_archive_key(revision))
        stored = await self._call(call, STORE_TIMEOUT_S)
        return codec.decode_document(stored.value)

    async def _call(self, call: Any, timeout_s: float) -> Any:
        return await _call_platform(
            self._channel_pool, self._address, call, timeout_s
        )


class WireHostList(platform.HostList):
    """The platform's host list, read over the wire protocol."""

    def __init__(self, address: str, channel_pool: ChannelPool) -> None:
        self._address = address
        self._channel_pool = channel_pool

    async def read(self) -> tuple[items.Host, ...]:
        """Returns the proxies in the list."""
        host_list = await _call_platform(
            self._channel_pool,
            self._address,
            messages.ListHosts(),
            STORE_TIMEOUT_S,
        )
        return tuple(
            items.Host(host.name, host.zone, host.address, host.leaving)
            for host in host_list.hosts
        )


def _archive_key(revision: int) -> str:
    return f"{first_settings.SETTINGS_KEY}/{(revision - 1) % ARCHIVE_SLOTS}"


async def _call_platform(
    channel_pool: ChannelPool, address: str, call: Any, timeout_s: float
) -> Any:
    try:
        return await channel_pool.call(address, call, timeout_s)
    except errors.ConnectionLostError as exc:
        raise errors.StoreUnavailableError(exc.detail) from exc
