"""A fake upstream for the world: one engine, its sessions and its calls."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable

from fescueshunt.core import upstream
from fescueshunt_standins import engine

Reply = Callable[[upstream.Reply], None]


@dataclasses.dataclass(slots=True)
class Waiting:
    """A status call that waits for a change until `until`."""

    call: upstream.ReadStatus
    until: float
    reply: Reply


class FakeUpstream:
    """Serves calls at once; a second write transaction waits its turn."""

    def __init__(self, name: str, primary: bool, schema: tuple[str, ...]):
        self.name = name
        self.engine = engine.Engine(primary, schema)
        self.follows = ""
        self.alive = True
        self.reads_log = True
        self._owner: int | None = None
        self._queue: collections.deque[tuple[int, upstream.Execute, Reply]] = (
            collections.deque()
        )
        self._closed: set[int] = set()
        self._waiting: list[Waiting] = []

    def execute(self, conn: int, call: upstream.Execute, reply: Reply) -> None:
        """Runs a call of session `conn`, now or when the writer is free."""
        if conn in self._closed:
            return
        if call.mode is upstream.Mode.BEGIN and self._owner not in (None, conn):
            self._queue.append((conn, call, reply))
            return
        reply(self._run(conn, call))
        self.announce()

    def close(self, conn: int) -> None:
        """Ends a session and rolls back what it has open."""
        self._closed.add(conn)
        if self._owner == conn:
            self._abort()
        self.announce()

    def control(self, call: upstream.Call, now: float, reply: Reply) -> None:
        """Serves a control call; a status call may wait."""
        if isinstance(call, upstream.ReadStatus) and not self._is_new(call):
            self._waiting.append(Waiting(call, now + call.wait_s, reply))
            return
        reply(self._control(call))
        self.announce()

    def expire(self, now: float) -> None:
        """Answers the status calls that have waited long enough."""
        late = [w for w in self._waiting if w.until <= now]
        self._waiting = [w for w in self._waiting if w.until > now]
        for waiting in late:
            waiting.reply(self._status())

    def announce(self) -> None:
        """Answers the status calls that a change concerns."""
        due = [w for w in self._waiting if self._is_new(w.call)]
        self._waiting = [w for w in self._waiting if w not in due]
        for waiting in due:
            waiting.reply(self._status())
        while self._owner is None and self._queue:
            conn, call, reply = self._queue.popleft()
            if conn not in self._closed:
                reply(self._run(conn, call))

    def _run(self, conn: int, call: upstream.Execute) -> upstream.Reply:
        try:
            results = self._perform(conn, call)
        except engine.RejectionError as exc:
            if call.mode is not upstream.Mode.READ and self._owner == conn:
                self._abort()
            return upstream.Rejected(
                exc.reason, exc.detail, exc.statement, self.engine.promised
            )
        return upstream.Executed(
            results, self.engine.history, self.engine.promised
        )

    def _perform(self, conn: int, call: upstream.Execute):
        if call.mode is upstream.Mode.READ:
            return self.engine.read(call.statements)
        if call.mode is upstream.Mode.ROLLBACK:
            if self._owner == conn:
                self._abort()
            return ()
        if call.mode is upstream.Mode.BEGIN:
            if self._owner == conn:
                self._abort()
            self.engine.check_primary(call.term)
            self._owner = conn
            self.engine.begin()
        if self._owner != conn:
            raise engine.RejectionError(upstream.Reason.NO_TRANSACTION)
        self.engine.check_primary(call.term)
        results = self.engine.step(call.statements)
        if call.mode is upstream.Mode.COMMIT:
            self.engine.commit()
            self._owner = None
        return results

    def _abort(self) -> None:
        self.engine.rollback()
        self._owner = None

    def _control(self, call: upstream.Call) -> upstream.Reply:
        current = self.engine
        match call:
            case upstream.ReadStatus():
                return self._status()
            case upstream.Fence():
                accepted = current.fence(call.term)
                if accepted:
                    self._owner = None
                return upstream.Fenced(
                    accepted, current.promised, current.history
                )
            case upstream.Promote():
                return upstream.Promoted(
                    current.promote(call.term),
                    current.promised,
                    current.history,
                )
            case upstream.Follow():
                accepted = current.follow(call.term)
                if accepted:
                    self._owner = None
                    self.follows = call.primary
                return upstream.Followed(accepted, current.promised)

    def _is_new(self, call: upstream.ReadStatus) -> bool:
        seen = (call.seen, call.promised)
        return (self.engine.history, self.engine.promised) != seen

    def _status(self) -> upstream.Status:
        current = self.engine
        return upstream.Status(
            self.name,
            current.role,
            current.term,
            current.promised,
            current.history,
            self.follows,
        )
