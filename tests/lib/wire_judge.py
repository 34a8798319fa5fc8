"""Feeds the judge with the bytes that pass in a `WireWorld`."""

from __future__ import annotations

import collections

from fescueshunt_standins.hosted import judge
from lib import wire_world

LINE_END = b"\r\n"


class JudgingObserver(wire_world.Observer):
    """Passes each complete line to the judge.

    Attributes:
      judge: the judge, which keeps the violations.
    """

    def __init__(self) -> None:
        self.judge = judge.Judge()
        self._buffers: dict[tuple[str, int], bytes] = collections.defaultdict(
            bytes
        )

    def client_sent(self, client: int, data: bytes) -> None:
        for line in self._split("client sent", client, data):
            self.judge.client_sent(str(client), line)

    def client_received(self, client: int, data: bytes) -> None:
        for line in self._split("client received", client, data):
            self.judge.client_received(str(client), line)

    def client_closed(self, client: int) -> None:
        self.judge.client_closed(str(client))

    def upstream_received(self, connection: int, data: bytes) -> None:
        for line in self._split("upstream received", connection, data):
            self.judge.upstream_received(str(connection), line)

    def upstream_sent(self, connection: int, data: bytes) -> None:
        for line in self._split("upstream sent", connection, data):
            self.judge.upstream_sent(str(connection), line)

    def upstream_closed(self, connection: int) -> None:
        self.judge.upstream_closed(str(connection))

    def _split(self, way: str, number: int, data: bytes) -> list[bytes]:
        *lines, rest = (self._buffers[way, number] + data).split(LINE_END)
        self._buffers[way, number] = rest
        return [line + LINE_END for line in lines]
