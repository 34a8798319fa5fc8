"""Passes the messages of upstream connections to a judge and a journal."""

from __future__ import annotations

import contextlib
import itertools
from typing import TYPE_CHECKING

from fescueshunt_standins.hosted import journal, judge, wire_reader

if TYPE_CHECKING:
    from collections.abc import Iterator


class RecordedConnection:
    """An upstream connection whose messages are judged and written down."""

    def __init__(
        self, name: str, checked: judge.Judge, written: journal.Journal | None
    ) -> None:
        self._name = name
        self._checked = checked
        self._journal = written

    def received(self, line: bytes) -> None:
        """Takes a message as it arrived, before anything else reads it."""
        self._pass_on(journal.Event.UPSTREAM_RECEIVED, line)

    def sent(self, data: bytes) -> None:
        """Takes messages before they are sent."""
        lines, _ = wire_reader.split_lines(data)
        for line in lines:
            self._pass_on(journal.Event.UPSTREAM_SENT, line)

    def closed(self) -> None:
        """Takes the end of the connection."""
        self._pass_on(journal.Event.UPSTREAM_CLOSED, b"")

    def _pass_on(self, event: journal.Event, line: bytes) -> None:
        if self._journal is not None:
            self._journal.add(event, self._name, line)
        journal.feed(self._checked, event, self._name, line)


class UpstreamRecorder:
    """Records the connections of all upstreams of a stand-in.

    Attributes:
      judge: judges the upstreams' side as it happens.
    """

    def __init__(self, written: journal.Journal | None = None) -> None:
        self.judge = judge.Judge(sees_clients=False)
        self._journal = written
        self._numbers = itertools.count(1)

    @contextlib.contextmanager
    def connection(self, upstream: str) -> Iterator[RecordedConnection]:
        """Records a connection to an upstream until it ends."""
        name = f"{upstream}#{next(self._numbers)}"
        connection = RecordedConnection(name, self.judge, self._journal)
        try:
            yield connection
        finally:
            connection.closed()
