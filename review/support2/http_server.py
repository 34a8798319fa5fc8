"""A small HTTP/1.1 server for the stand-ins, with JSON bodies."""

from __future__ import annotations

import asyncio
import contextlib
import json
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

Params = dict[str, str]
Answer = tuple[int, dict[str, Any]]
Handler = Callable[[str, str, Params, dict[str, Any]], Awaitable[Answer]]


async def _read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, str, Params, dict[str, Any]] | None:
    """Returns method, path, query and body; None at the end of the stream."""
    request_line = (await reader.readline()).decode()
    if not request_line:
        return None
    method, target, _ = request_line.split(" ", 2)
    length = 0
    while header := (await reader.readline()).decode().strip():
        name, _, value = header.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    data = await reader.readexactly(length)
    path, _, query = target.partition("?")
    params = dict(urllib.parse.parse_qsl(query))
    return method, path, params, json.loads(data) if data else {}


@contextlib.asynccontextmanager
async def serving(host: str, port: int, handle: Handler) -> AsyncIterator[None]:
    """Serves HTTP at an address until the context exits."""
    tasks: set[asyncio.Task[None]] = set()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while (request := await _read_request(reader)) is not None:
                status, fields = await handle(*request)
                body = json.dumps(fields).encode()
                head = (
                    f"HTTP/1.1 {status} -\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, host, port)
    try:
        yield
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
