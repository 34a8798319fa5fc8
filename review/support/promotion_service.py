"""Stand-in for the platform's promotion service, which checks no fences."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionCall:
    """One call as the platform has seen it, at a time of its own clock."""

    at: float
    holder: str
    token: int
    upstream: str


class PromotionService:
    """Serves `POST /promotion` over connections that stay open.

    Attributes:
      calls: the calls in the order in which they arrived.
    """

    def __init__(self, promote: Callable[[str], bool]) -> None:
        self._promote = promote
        self.address = ""
        self.calls: list[PromotionCall] = []

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator[PromotionService]:
        """Accepts connections until the context exits."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        try:
            yield self
        finally:
            server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(
                    line.split(": ", 1)
                    for line in head.split("\r\n")[1:]
                    if line
                )
                names = {name.lower(): fields[name] for name in fields}
                body = await reader.readexactly(int(names["content-length"]))
                status = self._answer(names, json.loads(body))
                answer = f"HTTP/1.1 {status} -\r\nContent-Length: 2\r\n\r\n{{}}"
                writer.write(answer.encode())
        writer.close()

    def _answer(self, headers: dict[str, str], body: dict[str, str]) -> int:
        call = PromotionCall(
            asyncio.get_running_loop().time(),
            headers["duty-holder"],
            int(headers["fencing-token"]),
            body["id"],
        )
        self.calls.append(call)
        return 200 if self._promote(call.upstream) else 409
