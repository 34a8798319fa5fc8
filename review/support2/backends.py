"""Stand-ins for the backends of one service: logs, replication and the wire.

Each backend listens at an address of its own. It follows the users' PROTOCOL
page; where that is silent it behaves like a sound database.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import json
import time
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Coroutine

    from support2 import record, store

MS_PER_S = 1000
MAX_LINE_BYTES = 1 << 20
HEARTBEAT_S = 1.2
# An entry is removed after three heartbeat intervals of silence.
ENTRY_TTL_S = 3 * HEARTBEAT_S
NETWORK_S = 0.001
APPLY_S = 0.008
SYNC_INTERVAL_S = 0.02
STATEMENT_S = 0.003
PROMOTE_S = 0.3
STEP_DOWN_S = 1.0
SLOTS = 2
FIRST_TERM = 3


class Position(NamedTuple):
    """The position of an entry in a log; the page writes it TERM.NUMBER."""

    term: int
    number: int

    def __str__(self) -> str:
        """Returns the position as on the wire."""
        return f"{self.term}.{self.number}" if self.number else "-"


NOWHERE = Position(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One commit: its position and what it wrote, by item."""

    position: Position
    writes: tuple[tuple[str, str], ...]


class Backend:
    """One backend: its log, its role and what disturbs it.

    Attributes:
      is_up: whether its process runs.
      is_deaf: whether it receives nothing from the primary.
      born_ms: when its process started, Unix milliseconds.
    """

    def __init__(self, service: Service, name: str, host: str) -> None:
        self.service = service
        self.name = name
        self.host = host
        self.port = 0
        self.is_primary = False
        self.term = FIRST_TERM
        self.held_term = 0
        self.log: list[Entry] = []
        self.applied = 0
        self.is_up = False
        self.is_deaf = False
        self.is_draining = False
        self.born_ms = 0
        self.seq = 0
        self.beat_at = 0.0
        self.slots = asyncio.Semaphore(SLOTS)
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def received(self) -> Position:
        """The position of the last entry of the log."""
        return self.log[-1].position if self.log else NOWHERE

    @property
    def applied_position(self) -> Position:
        """The position of the last entry that reads see."""
        return self.log[self.applied - 1].position if self.applied else NOWHERE

    def entry(self) -> dict[str, object]:
        """Returns what the backend says of itself in the store."""
        return {
            "service": self.service.name,
            "address": f"{self.host}:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": SLOTS,
            "state": "draining" if self.is_draining else "ready",
            "cold_left_ms": 0,
            "seq": self.seq,
            "db_role": "primary" if self.is_primary else "replica",
            "born": self.born_ms,
        }

    async def start(self) -> None:
        """Starts the process; it listens where it did before.

        A former primary is a replica if another one leads.
        """
        if any(
            other.is_primary and other.term > self.term
            for other in self.service.backends.values()
        ):
            self.is_primary = False
        self.born_ms = int(time.time() * MS_PER_S)
        self.seq = 0
        self.beat_at = 0.0
        self.is_up = True
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2 * MAX_LINE_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.service.record.note("started", backend=self.name)

    def crash(self) -> None:
        """Ends the process; its connections are reset."""
        self.is_up = False
        self.held_term = 0
        self.close()
        self.service.fail_pending(self)
        self.service.record.note("crashed", backend=self.name)

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def forget(self) -> None:
        """Loses all that the process held, as at a restart from nothing."""
        self.log, self.applied = [], 0
        self.is_primary = False
        self.term = 0

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        link = Link(self)
        try:
            await self._serve_session(link, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_session(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        start = (await _read_line(reader)).split(" ")
        is_expected = start[:2] == ["START", self.service.name]
        if not is_expected or start[3:] not in ([], [self.name]):
            writer.write(f"ERROR MISROUTED {self.name}\r\n".encode())
            return
        writer.write(link.ready().encode())
        next_line = asyncio.ensure_future(_read_line(reader))
        try:
            while (line := await next_line) != "TERMINATE":
                _, statement_id, text = line.split(" ", 2)
                next_line = asyncio.ensure_future(_read_line(reader))
                answer = await _unless_ended(
                    link.run(statement_id, text), next_line
                )
                if answer.startswith("COMPLETE"):
                    writer.write(self.service.large_rows(text))
                writer.write((answer + link.ready()).encode())
                await writer.drain()
        finally:
            next_line.cancel()


async def _unless_ended(
    statement: Coroutine[None, None, str], next_line: asyncio.Future[str]
) -> str:
    """Returns a statement's answer; gives it up if its connection ends.

    Raises:
      asyncio.IncompleteReadError: if the connection has ended.
    """
    running = asyncio.ensure_future(statement)
    await asyncio.wait(
        (running, next_line), return_when=asyncio.FIRST_COMPLETED
    )
    if next_line.done() and next_line.exception() is not None:
        running.cancel()
        next_line.result()
    return await running


async def _read_line(reader: asyncio.StreamReader) -> str:
    return (await reader.readuntil(b"\r\n")).decode()[:-2]


class Link:
    """The state of one connection to a backend."""

    def __init__(self, backend: Backend) -> None:
        self._backend = backend
        self._state = "I"
        self._is_read_only = False
        self._writes: list[tuple[str, str]] = []
        self._prepared: dict[str, list[str]] = {}
        self._values: dict[str, str] = {}

    def ready(self) -> str:
        """Returns the line that ends each answer."""
        return f"READY {self._state} {self._backend.applied_position}\r\n"

    async def run(self, statement_id: str, text: str) -> str:
        """Runs one statement; returns its answer without the last line."""
        words = text.split(" ")
        since = None
        if words[0] == "SINCE":
            term, _, number = words[1].partition(".")
            since = Position(int(term), int(number))
            words = words[2:]
        if words[0] == "EXECUTE":
            shape = self._prepared.get(words[1])
            if shape is None:
                return self._error("NOSTMT")
            words = [shape[0], *words[2:]]
        match words[0]:
            case "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN":
                return self._control(words)
            case "RESET":
                self._prepared.clear()
                self._values.clear()
                return "COMPLETE -\r\n"
            case "SET":
                self._values[words[1]] = " ".join(words[2:])
                return "COMPLETE -\r\n"
            case "PREPARE":
                self._prepared[words[1]] = words[2:]
                return "COMPLETE -\r\n"
            case "BEGIN":
                return self._begin(words, since)
            case "ROLLBACK":
                self._state, self._writes = "I", []
                return "COMPLETE -\r\n"
        async with self._backend.slots:
            await asyncio.sleep(STATEMENT_S)
            return await self._run_in_slot(statement_id, words, since)

    def _control(self, words: list[str]) -> str:
        backend = self._backend
        service = backend.service
        match words:
            case ["PAUSE", term]:
                if not backend.is_primary and int(term) > backend.term:
                    backend.held_term = int(term)
            case ["RESUME"]:
                backend.held_term = 0
            case ["STEPDOWN", term]:
                if backend.is_primary and backend.term < int(term):
                    backend.is_primary = False
                    service.fail_pending(backend)
        if words != ["STATUS"]:
            service.record.note(
                "control", backend=backend.name, call="-".join(words)
            )
        role = "primary" if backend.is_primary else "replica"
        return (
            f"ROW {role} {backend.term} {backend.received} "
            f"{backend.held_term} 0 0 {len(backend.writers)}\r\n"
            "COMPLETE -\r\n"
        )

    def _error(self, code: str) -> str:
        return f"ERROR {code} {self._backend.name}\r\n"

    def _begin(self, words: list[str], since: Position | None) -> str:
        is_read_only = words[1:] == ["READ"]
        if not is_read_only and not self._backend.is_primary:
            return self._error("READONLY")
        if since is not None and self._backend.applied_position < since:
            return self._error("LAGGING")
        self._state, self._is_read_only = "T", is_read_only
        return "COMPLETE -\r\n"

    async def _run_in_slot(
        self, statement_id: str, words: list[str], since: Position | None
    ) -> str:
        backend = self._backend
        service = backend.service
        if self._state == "E":
            return self._error("MALFORMED")
        is_open = self._state == "T"
        lost_lead = is_open and not (self._is_read_only or backend.is_primary)
        writes_nothing = words == ["COMMIT"] and not self._writes
        if lost_lead and not writes_nothing:
            self._state = "I" if words == ["COMMIT"] else "E"
            self._writes = []
            return self._error("READONLY")
        match words:
            case ["READ", item]:
                if since is not None and backend.applied_position < since:
                    return self._error("LAGGING")
                service.record.note(
                    "run", id=statement_id, backend=backend.name, read=item
                )
                return service.read(backend, item) + service.complete()
            case ["WRITE", item, *data]:
                writes = [(item, " ".join(data))]
                if is_open:
                    self._writes += writes
                    return service.complete()
                if not backend.is_primary:
                    return self._error("READONLY")
            case ["COMMIT"]:
                writes, self._writes = self._writes, []
                if not writes:
                    self._state = "I"
                    return service.complete()
            case _:
                return self._error("MALFORMED")
        is_committed = await service.commit(backend, writes)
        self._state = "I"
        service.record.note(
            "run",
            id=statement_id,
            backend=backend.name,
            wrote=writes[-1][1],
            committed=is_committed,
        )
        return service.complete() if is_committed else self._error("FAILED")


class Service:
    """The backends of one service, and the replication between them.

    Args:
      name: the name of the service.
      keys: the store in which the backends register themselves.
      record: where events are noted.
    """

    def __init__(
        self, name: str, keys: store.Store, record: record.Record
    ) -> None:
        self.name = name
        self.record = record
        self.backends: dict[str, Backend] = {}
        # The rows of items that are large, as they are sent.
        self.large_items: dict[str, bytes] = {}
        self.on_promoted: Callable[[Backend], None] = lambda _: None
        self._keys = keys
        self._receipts = itertools.count(1)
        self._registered: dict[str, str] = {}
        self._pending: list[tuple[Backend, Entry, asyncio.Future[bool]]] = []

    def add(self, name: str, host: str) -> Backend:
        """Adds a backend that is not started yet."""
        self.backends[name] = Backend(self, name, host)
        return self.backends[name]

    def complete(self) -> str:
        """Returns a line with a new receipt."""
        return f"COMPLETE r.{next(self._receipts)}\r\n"

    def large_rows(self, text: str) -> bytes:
        """Returns the rows if `text` reads a large item, else nothing."""
        words = text.split(" ")
        is_large_read = words[-2:-1] == ["READ"]
        return self.large_items.get(words[-1], b"") if is_large_read else b""

    def read(self, backend: Backend, item: str) -> str:
        """Returns the rows of a read at a backend."""
        for entry in reversed(backend.log[: backend.applied]):
            for written, data in reversed(entry.writes):
                if written == item:
                    return f"ROW {data}\r\n"
        return ""

    async def commit(
        self, primary: Backend, writes: list[tuple[str, str]]
    ) -> bool:
        """Commits at a primary; returns whether a replica has received it."""
        if not primary.is_primary:
            return False
        number = primary.received.number + 1
        entry = Entry(Position(primary.term, number), tuple(writes))
        primary.log.append(entry)
        primary.applied = len(primary.log)
        received = asyncio.get_running_loop().create_future()
        self._pending.append((primary, entry, received))
        await asyncio.sleep(NETWORK_S)
        self.replicate()
        return await received

    def fail_pending(self, primary: Backend) -> None:
        """Answers the commits that a former primary can't confirm."""
        for owner, _, received in self._pending:
            if owner is primary and not received.done():
                received.set_result(False)
        self._pending = [each for each in self._pending if not each[2].done()]

    def replicate(self) -> None:
        """Copies the log of each primary to the replicas that receive it."""
        for primary in self.backends.values():
            if not (primary.is_primary and primary.is_up):
                continue
            for replica in self.backends.values():
                if self._can_receive(replica, primary):
                    self._receive(replica, primary)
        for primary, entry, received in self._pending:
            has_copy = any(
                entry in other.log[-50:]
                for other in self.backends.values()
                if other is not primary and other.is_up
            )
            if has_copy and primary.is_primary and not received.done():
                received.set_result(True)
        self._pending = [each for each in self._pending if not each[2].done()]

    def _can_receive(self, replica: Backend, primary: Backend) -> bool:
        return (
            replica is not primary
            and replica.is_up
            and f"servers/{replica.name}" in self._registered
            and not replica.is_primary
            and not replica.is_deaf
            and not replica.held_term
            and replica.term <= primary.term
        )

    def _receive(self, replica: Backend, primary: Backend) -> None:
        replica.term = primary.term
        if replica.received == primary.received:
            return
        replica.log = list(primary.log)
        replica.applied = min(replica.applied, len(replica.log))
        received = len(replica.log)

        def apply() -> None:
            replica.applied = max(
                replica.applied, min(received, len(replica.log))
            )

        asyncio.get_running_loop().call_later(APPLY_S, apply)

    def promote(self, name: str) -> bool:
        """Promotes a backend some time later; False if it does not run."""
        backend = self.backends.get(name)
        self.record.note("promotion called", backend=name)
        if backend is None or not backend.is_up:
            return False
        if not backend.is_primary:
            loop = asyncio.get_running_loop()
            loop.call_later(PROMOTE_S, self._lead, backend)
        return True

    def _lead(self, backend: Backend) -> None:
        if backend.is_primary or not backend.is_up:
            return
        backend.term = max(b.term for b in self.backends.values()) + 1
        backend.is_primary = True
        backend.held_term = 0
        backend.applied = len(backend.log)
        self.record.note(
            "leads",
            backend=backend.name,
            term=backend.term,
            received=backend.received,
        )
        self.on_promoted(backend)
        for other in self.backends.values():
            if other is not backend and not other.is_deaf:
                other.held_term = 0
        loop = asyncio.get_running_loop()
        loop.call_later(STEP_DOWN_S, self._replace_former, backend)

    def _replace_former(self, leader: Backend) -> None:
        """Former primaries that reach the new one become replicas."""
        for other in self.backends.values():
            if other is leader or not (other.is_primary and other.is_up):
                continue
            if other.term < leader.term:
                other.is_primary = False
                self.fail_pending(other)

    async def run_periodic_work(self) -> None:
        """Replicates and registers the backends, until cancelled."""
        while True:
            self.replicate()
            for backend in self.backends.values():
                self._register(backend, time.monotonic())
            await asyncio.sleep(SYNC_INTERVAL_S)

    def _register(self, backend: Backend, now: float) -> None:
        """Writes an entry if it has changed; removes that of a silent one."""
        key = f"servers/{backend.name}"
        known = self._registered.get(key)
        if backend.is_up:
            if now - backend.beat_at >= HEARTBEAT_S:
                backend.beat_at = now
                backend.seq += 1
            entry = backend.entry()
            text = json.dumps({k: v for k, v in entry.items() if k != "seq"})
            if text != known:
                backend.beat_at = now
                self._registered[key] = text
                self._keys.put(key, json.dumps(entry).encode())
        elif known is not None and now - backend.beat_at > ENTRY_TTL_S:
            del self._registered[key]
            self._keys.put(key, None)


@contextlib.asynccontextmanager
async def in_background(
    coroutine: Coroutine[None, None, None],
) -> AsyncIterator[None]:
    """Runs a coroutine as a task until the context exits."""
    task = asyncio.ensure_future(coroutine)
    try:
        yield
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
