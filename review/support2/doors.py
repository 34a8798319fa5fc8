"""What stands between one host and the store, and between it and backends."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from support2 import http_server, store

READ_BYTES = 1 << 16
ENTRIES_PREFIX = "servers/"


class Door:
    """The store as one host reaches it.

    Attributes:
      is_cut: whether calls of the host get no answer, and are not carried out.
      detours: the addresses under which the host sees backends, by their own.
    """

    def __init__(self, keys: store.Store) -> None:
        self.is_cut = False
        self.detours: dict[str, str] = {}
        self.conditional_writes = 0
        self._keys = keys
        self._never = asyncio.Event()

    async def handle(
        self,
        method: str,
        path: str,
        params: http_server.Params,
        body: dict[str, Any],
    ) -> http_server.Answer:
        """Answers a call, unless the host is cut off meanwhile."""
        await self._wait_if_cut()
        status, fields = await self._keys.handle(method, path, params, body)
        await self._wait_if_cut()
        if status == 200 and body.get("expected"):
            self.conditional_writes += 1
        for listed in ("items", "events"):
            if listed in fields:
                fields[listed] = [self._redirect(i) for i in fields[listed]]
        return status, fields

    async def _wait_if_cut(self) -> None:
        if self.is_cut:
            await self._never.wait()

    def _redirect(self, item: dict[str, Any]) -> dict[str, Any]:
        """Returns an item with the address that this host is to use."""
        if not item["key"].startswith(ENTRIES_PREFIX) or "value" not in item:
            return item
        entry = json.loads(base64.b64decode(item["value"]))
        entry["address"] = self.detours.get(entry["address"], entry["address"])
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        return item | {"value": value}


class Gate:
    """A proxy to one backend that can be cut: it then passes nothing on.

    Attributes:
      is_cut: whether bytes are dropped, and connections stay silent.
    """

    def __init__(self, host: str, port: int) -> None:
        self.is_cut = False
        self._target = host, port

    @contextlib.asynccontextmanager
    async def serving(self, host: str) -> AsyncIterator[str]:
        """Serves at a free port of `host`; yields the address."""
        server = await asyncio.start_server(self._serve, host, 0)
        try:
            yield f"{host}:{server.sockets[0].getsockname()[1]}"
        finally:
            server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writers = [writer]
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while self.is_cut:
                if not await reader.read(READ_BYTES):
                    return
            target = await asyncio.open_connection(*self._target)
            writers.append(target[1])
            await asyncio.gather(
                self._pass_on(reader, target[1]),
                self._pass_on(target[0], writer),
            )
        for each in writers:
            each.close()

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if not self.is_cut:
                writer.write(data)
                await writer.drain()
        writer.transport.abort()
