"""A file with the messages of clients or upstreams, in the order of time.

Clients and upstreams run in processes of their own and write a journal each.
A judge reads both afterwards; the processes of a machine share the clock.
"""

from __future__ import annotations

import contextlib
import dataclasses
import enum
import heapq
import json
import time
from typing import TYPE_CHECKING

from fescueshunt_standins.hosted import judge, judge_records, wire_reader

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterable, Iterator
    from typing import TextIO

ENCODING = "latin-1"
_ROW = b"ROW "


class Event(enum.Enum):
    """What happened on a connection."""

    CLIENT_SENT = "client_sent"
    CLIENT_RECEIVED = "client_received"
    CLIENT_CLOSED = "client_closed"
    UPSTREAM_RECEIVED = "upstream_received"
    UPSTREAM_SENT = "upstream_sent"
    UPSTREAM_CLOSED = "upstream_closed"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """An event on a connection.

    Attributes:
      at_ns: when it happened, by the monotonic clock of the machine.
      event: what happened.
      name: the connection.
      line: the message, empty at the end of the connection.
    """

    at_ns: int
    event: Event
    name: str
    line: bytes = b""


class Journal:
    """Writes entries; replaces the rows of an answer by one with a digest."""

    def __init__(self, file: TextIO) -> None:
        self._file = file
        self._rows: dict[tuple[Event, str], judge_records.RowsDigest] = {}

    def add(self, event: Event, name: str, line: bytes = b"") -> None:
        """Adds what happens now."""
        answer = event, name
        if line.startswith(_ROW) and line.endswith(wire_reader.LINE_END):
            rows = self._rows.setdefault(answer, judge_records.RowsDigest())
            rows.add(wire_reader.Row(line.decode(ENCODING)))
            return
        rows = self._rows.pop(answer, None)
        if rows is not None:
            digest = rows.digest().hex().encode()
            self._write(event, name, _ROW + digest + wire_reader.LINE_END)
        if not line:
            self._forget(name)
        self._write(event, name, line)

    def _forget(self, name: str) -> None:
        """Forgets the rows of an answer that the end of a connection cut."""
        for event in (Event.CLIENT_RECEIVED, Event.UPSTREAM_SENT):
            self._rows.pop((event, name), None)

    def _write(self, event: Event, name: str, line: bytes) -> None:
        fields = (
            time.monotonic_ns(),
            event.value,
            name,
            line.decode(ENCODING),
        )
        self._file.write(json.dumps(fields) + "\n")


@contextlib.contextmanager
def writing(path: pathlib.Path) -> Iterator[Journal]:
    """Opens a journal that is complete on exit."""
    with path.open("w", encoding="ascii") as file:
        yield Journal(file)


def read_entries(path: pathlib.Path) -> Iterator[Entry]:
    """Reads a journal; one that was never begun has no entries."""
    if not path.exists():
        return
    with path.open(encoding="ascii") as file:
        for line in file:
            at_ns, event, name, text = json.loads(line)
            yield Entry(at_ns, Event(event), name, text.encode(ENCODING))


def judge_journals(paths: Iterable[pathlib.Path]) -> judge.Judge:
    """Returns a judge of what the journals hold together."""
    checked = judge.Judge()
    journals = [read_entries(path) for path in paths]
    for entry in heapq.merge(*journals, key=lambda entry: entry.at_ns):
        feed(checked, entry.event, entry.name, entry.line)
    return checked


def feed(checked: judge.Judge, event: Event, name: str, line: bytes) -> None:
    """Feeds an event on a connection to a judge."""
    match event:
        case Event.CLIENT_SENT:
            checked.client_sent(name, line)
        case Event.CLIENT_RECEIVED:
            checked.client_received(name, line)
        case Event.CLIENT_CLOSED:
            checked.client_closed(name)
        case Event.UPSTREAM_RECEIVED:
            checked.upstream_received(name, line)
        case Event.UPSTREAM_SENT:
            checked.upstream_sent(name, line)
        case Event.UPSTREAM_CLOSED:
            checked.upstream_closed(name)
