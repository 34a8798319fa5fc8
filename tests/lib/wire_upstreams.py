"""Model of upstreams that read and answer bytes, for tests in memory.

It shares no code with the codec of the proxy. Each answer to a read, a write
or an execution has one row that says what ran: the id, the kind, the shape,
the arguments and the values of the connection.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import hashlib
import itertools
from collections.abc import Callable, Iterator

from fescueshunt_standins.hosted import wire_reader
from lib import virtual_loop

SLOW_S = 0.4
PRIMARY = "u0"
MAX_LINE_BYTES = 1 << 20
MAX_ROW_CHARS = 4000


class Fault(enum.Enum):
    """What goes wrong with one statement at an upstream.

    The first ones are answers to a statement that did not run. The statement
    ran if it FAILED or timed out, or if its answer is LOST, CUT or SLOW.
    """

    BUSY = "BUSY"
    NO_STATEMENT = "NOSTMT"
    LAGGING = "LAGGING"
    READ_ONLY = "READONLY"
    FAILED = "FAILED"
    TIMEOUT = "TIMEOUT"
    REFUSED = "FAILED without effect"
    LOST = "lost"
    CUT = "cut"
    SLOW = "slow"
    CLOSED_BEFORE = "closed before"
    CLOSED_AFTER = "closed after"


NOT_RUN = (Fault.BUSY, Fault.NO_STATEMENT, Fault.LAGGING, Fault.READ_ONLY)
RUN_AND_FAILED = (Fault.FAILED, Fault.TIMEOUT)
_TRANSACTION_ENDS = wire_reader.Commit | wire_reader.Rollback


class Observer:
    """Sees what passes between the proxy and its upstreams."""

    def upstream_received(self, connection: int, data: bytes) -> None:
        """The upstream has received bytes."""

    def upstream_sent(self, connection: int, data: bytes) -> None:
        """The upstream has sent bytes."""

    def upstream_closed(self, connection: int) -> None:
        """The connection has ended."""


@dataclasses.dataclass(slots=True)
class Upstreams:
    """The upstreams of one replica set.

    Attributes:
      faults: what goes wrong with each statement, in order of arrival; nothing
        once it is exhausted.
      observer: sees all bytes.
      unreadable: the lines that no upstream could read, with the reason.
      lost: the connections that the upstreams closed.
      effects: how often each statement's write was committed, by id.
      committed_by: the ids of the statements that a commit wrote, by its id.
    """

    loop: virtual_loop.VirtualLoop
    faults: Iterator[Fault | None]
    observer: Observer
    unreadable: list[tuple[bytes, str]] = dataclasses.field(
        default_factory=list
    )
    lost: int = 0
    commits: int = 0
    effects: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    committed_by: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    connection_ids: Iterator[int] = dataclasses.field(
        default_factory=lambda: itertools.count(1)
    )

    def commit(self, statement_id: str, written_ids: list[str]) -> None:
        """Records a commit, or a write outside a transaction."""
        self.commits += bool(written_ids)
        self.effects.update(written_ids)
        self.committed_by.setdefault(statement_id, []).extend(written_ids)

    def connect(self, port: int) -> UpstreamSession:
        """Accepts a connection to the upstream with the given number."""
        return UpstreamSession(self, f"u{port - 1}")


class UpstreamSession(virtual_loop.Peer):
    """One connection to an upstream."""

    def __init__(self, upstreams: Upstreams, name: str) -> None:
        self._upstreams = upstreams
        self._name = name
        self._number = next(upstreams.connection_ids)
        self._buffer = bytearray()
        self._is_open = True
        self._has_started = False
        self._values: dict[str, str] = {}
        self._prepared: dict[str, wire_reader.Shape] = {}
        self._state = "I"
        self._written_ids: list[str] = []
        self._receipts = itertools.count(1)

    def on_data(self, data: bytes) -> None:
        if not self._is_open:
            return
        self._upstreams.observer.upstream_received(self._number, data)
        self._buffer += data
        while self._is_open and b"\r\n" in self._buffer:
            line, _, rest = bytes(self._buffer).partition(b"\r\n")
            self._buffer = bytearray(rest)
            self._handle(line + b"\r\n")
        if self._is_open and len(self._buffer) > MAX_LINE_BYTES:
            self._refuse(bytes(self._buffer), "no end of the line")

    def on_end(self) -> None:
        if self._is_open:
            self._is_open = False
            self._upstreams.observer.upstream_closed(self._number)

    def _handle(self, line: bytes) -> None:
        try:
            request = wire_reader.read_upstream_request(line)
        except wire_reader.WireError as exc:
            self._refuse(line, str(exc))
            return
        match request:
            case wire_reader.Start(words=words) if not self._has_started:
                if words[2:] not in ((), (self._name,)):
                    self._send(b"ERROR MISROUTED -\r\n")
                    return
                self._has_started = True
                self._reply("READY I 1.0")
            case wire_reader.Query() if self._has_started:
                self._answer(request)
            case _:
                self._refuse(line, "out of place")

    def _refuse(self, line: bytes, reason: str) -> None:
        self._upstreams.unreadable.append((line[:200], reason))
        if len(line) > MAX_LINE_BYTES:
            self._close()
        else:
            self._reply("ERROR MALFORMED -", self._ready())

    def _close(self) -> None:
        self._upstreams.lost += 1
        self.on_end()
        self.transport.reset()

    def _answer(self, query: wire_reader.Query) -> None:
        fault = next(self._upstreams.faults, None)
        if fault is Fault.CLOSED_BEFORE:
            self._close()
            return
        if fault in NOT_RUN or fault is Fault.REFUSED:
            code = "FAILED" if fault is Fault.REFUSED else fault.value
            self._fail_transaction(query.call)
            self._reply(f"ERROR {code} -", self._ready())
            return
        lines = self._run(query)
        if fault in RUN_AND_FAILED:
            self._fail_transaction(query.call)
            lines = [f"ERROR {fault.value} -"]
        lines.append(self._ready())
        match fault:
            case Fault.LOST:
                pass
            case Fault.CLOSED_AFTER:
                self._close()
            case Fault.CUT:
                self._send("\r\n".join(lines).encode("latin-1")[:-3])
                self._close()
            case Fault.SLOW:
                self._upstreams.loop.call_later(
                    SLOW_S, lambda: self._reply(*lines)
                )
            case _:
                self._reply(*lines)

    def _fail_transaction(self, call: wire_reader.UpstreamText) -> None:
        if isinstance(call, wire_reader.Commit):
            self._state = "I"
        elif self._state == "T":
            self._state = "E"

    def _run(self, query: wire_reader.Query) -> list[str]:
        """Runs a statement; returns its answer without the last line."""
        if query.call == wire_reader.Control("STATUS"):
            return ["ROW primary 1 1.0 0 0 0 1", "COMPLETE -"]
        if isinstance(query.call, _TRANSACTION_ENDS):
            return self._end_transaction(query)
        if self._state == "E":
            return ["ERROR MALFORMED -"]
        match query.call:
            case wire_reader.Begin(read_only=read_only):
                return self._begin(read_only)
            case wire_reader.SetValue(name=name, value=value):
                self._values[name] = value
            case wire_reader.Prepare(name=name, shape=shape):
                self._prepared[name] = shape
            case wire_reader.Deallocate(name=name):
                self._prepared.pop(name, None)
            case wire_reader.Reset():
                self._values.clear()
                self._prepared.clear()
            case _:
                return self._run_access(query)
        return self._success()

    def _begin(self, read_only: bool) -> list[str]:
        if self._state != "I":
            return ["ERROR MALFORMED -"]
        if not read_only and self._name != PRIMARY:
            return ["ERROR READONLY -"]
        self._state = "T"
        self._written_ids = []
        return self._success()

    def _end_transaction(self, query: wire_reader.Query) -> list[str]:
        commits = isinstance(query.call, wire_reader.Commit)
        is_open, self._state = self._state == "T", "I"
        if commits and not is_open:
            return ["ERROR MALFORMED -"]
        if commits:
            self._upstreams.commit(query.id, self._written_ids)
        return self._success()

    def _run_access(self, query: wire_reader.Query) -> list[str]:
        """Runs a read, a write or an execution."""
        arguments = query.text.split(" ", 1)[1]
        match query.call:
            case wire_reader.Read():
                shape = wire_reader.Shape(False, "")
            case wire_reader.Write():
                shape = wire_reader.Shape(True, "")
            case wire_reader.Execute(name=name):
                shape = self._prepared.get(name)
                arguments = arguments.partition(" ")[2]
                if shape is None:
                    return self._fail("NOSTMT")
        if shape.writes:
            if self._name != PRIMARY:
                return self._fail("READONLY")
            if self._state == "I":
                self._upstreams.commit(query.id, [query.id])
            else:
                self._written_ids.append(query.id)
        row = format_row(query.id, shape, arguments, self._values)
        return [f"ROW {row}", *self._success()]

    def _fail(self, code: str) -> list[str]:
        if self._state == "T":
            self._state = "E"
        return [f"ERROR {code} -"]

    def _success(self) -> list[str]:
        receipt = f"{self._name}.{self._number}.{next(self._receipts)}"
        return [f"COMPLETE {receipt}"]

    def _ready(self) -> str:
        return f"READY {self._state} 1.{self._upstreams.commits}"

    def _reply(self, *lines: str) -> None:
        text = "".join(f"{line}\r\n" for line in lines)
        self._send(text.encode("latin-1"))

    def _send(self, data: bytes) -> None:
        if self._is_open:
            self._upstreams.observer.upstream_sent(self._number, data)
            loop = self._upstreams.loop
            deliver: Callable = self.transport.deliver
            loop.call_later(virtual_loop.LATENCY_S, deliver, data)


def format_row(
    statement_id: str,
    shape: wire_reader.Shape,
    arguments: str,
    values: dict[str, str],
) -> str:
    """Returns the row that says what ran; a digest if it would be long."""
    kind = "w" if shape.writes else "r"
    fields = (statement_id, kind, shape.text, arguments, sorted(values.items()))
    row = repr(fields)
    if len(row) > MAX_ROW_CHARS:
        return hashlib.sha256(row.encode()).hexdigest()
    return row
