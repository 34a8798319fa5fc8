"""A fake upstream for simulations: one engine with its sessions."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable

from fescueshunt.core import upstream
from fescueshunt_standins import engine

Reply = Callable[[upstream.Reply], None]


@dataclasses.dataclass(slots=True)
class WaitingStatusCall:
    """A status call that is answered after a change, or else at `until`."""

    call: upstream.ReadStatus
    until: float
    reply: Reply


class FakeUpstream:
    """Runs calls immediately, but only one write transaction at a time.

    Other write transactions wait in a queue.
    """

    def __init__(self, name: str, primary: bool, schema: tuple[str, ...]):
        self.name = name
        self.engine = engine.Engine(primary, schema)
        self.follows = ""
        self.alive = True
        self.is_replicating = True
        self._writer_conn: int | None = None
        self._queued_writers: collections.deque[
            tuple[int, upstream.Execute, Reply]
        ] = collections.deque()
        self._closed: set[int] = set()
        self._waiting: list[WaitingStatusCall] = []

    def execute(self, conn: int, call: upstream.Execute, reply: Reply) -> None:
        """Runs a call of session `conn`, or queues it behind another writer."""
        if conn in self._closed:
            return
        if call.mode is upstream.Mode.BEGIN and self._writer_conn not in (
            None,
            conn,
        ):
            self._queued_writers.append((conn, call, reply))
            return
        reply(self._run(conn, call))
        self.answer_waiting_calls()

    def close(self, conn: int) -> None:
        """Ends a session and rolls back its open transaction."""
        self._closed.add(conn)
        if self._writer_conn == conn:
            self._abort()
        self.answer_waiting_calls()

    def control(self, call: upstream.Call, now: float, reply: Reply) -> None:
        """Runs a control call; a status call may wait for a change."""
        if isinstance(call, upstream.ReadStatus) and not self._has_changed(
            call
        ):
            self._waiting.append(
                WaitingStatusCall(call, now + call.wait_s, reply)
            )
            return
        reply(self._apply_control(call))
        self.answer_waiting_calls()

    def expire(self, now: float) -> None:
        """Answers the status calls whose waiting time is over."""
        expired = [
            status_call
            for status_call in self._waiting
            if status_call.until <= now
        ]
        self._waiting = [
            status_call
            for status_call in self._waiting
            if status_call.until > now
        ]
        for waiting_call in expired:
            waiting_call.reply(self._status())

    def answer_waiting_calls(self) -> None:
        """Answers status calls after a change, and runs queued writers."""
        due = [
            status_call
            for status_call in self._waiting
            if self._has_changed(status_call.call)
        ]
        self._waiting = [
            status_call
            for status_call in self._waiting
            if status_call not in due
        ]
        for waiting_call in due:
            waiting_call.reply(self._status())
        while self._writer_conn is None and self._queued_writers:
            conn, call, reply = self._queued_writers.popleft()
            if conn not in self._closed:
                reply(self._run(conn, call))

    def _run(self, conn: int, call: upstream.Execute) -> upstream.Reply:
        try:
            results = self._run_statements(conn, call)
        except engine.RejectionError as exc:
            if (
                call.mode is not upstream.Mode.READ
                and self._writer_conn == conn
            ):
                self._abort()
            return upstream.Rejected(
                exc.reason, exc.detail, exc.statement, self.engine.promised
            )
        return upstream.Executed(
            results, self.engine.history, self.engine.promised
        )

    def _run_statements(self, conn: int, call: upstream.Execute):
        if call.mode is upstream.Mode.READ:
            return self.engine.read(call.statements)
        if call.mode is upstream.Mode.ROLLBACK:
            if self._writer_conn == conn:
                self._abort()
            return ()
        if call.mode is upstream.Mode.BEGIN:
            if self._writer_conn == conn:
                self._abort()
            self.engine.check_primary(call.term)
            self._writer_conn = conn
            self.engine.begin()
        if self._writer_conn != conn:
            raise engine.RejectionError(upstream.Reason.NO_TRANSACTION)
        self.engine.check_primary(call.term)
        results = self.engine.execute(call.statements)
        if call.mode is upstream.Mode.COMMIT:
            self.engine.commit()
            self._writer_conn = None
        return results

    def _abort(self) -> None:
        self.engine.rollback()
        self._writer_conn = None

    def _apply_control(self, call: upstream.Call) -> upstream.Reply:
        database = self.engine
        match call:
            case upstream.ReadStatus():
                return self._status()
            case upstream.Fence():
                accepted = database.fence(call.term)
                if accepted:
                    self._writer_conn = None
                return upstream.Fenced(
                    accepted, database.promised, database.history
                )
            case upstream.Promote():
                return upstream.Promoted(
                    database.promote(call.term),
                    database.promised,
                    database.history,
                )
            case upstream.Follow():
                accepted = database.follow(call.term)
                if accepted:
                    self._writer_conn = None
                    self.follows = call.primary
                return upstream.Followed(accepted, database.promised)

    def _has_changed(self, call: upstream.ReadStatus) -> bool:
        known_state = (call.seen, call.promised)
        return (self.engine.history, self.engine.promised) != known_state

    def _status(self) -> upstream.Status:
        database = self.engine
        return upstream.Status(
            self.name,
            database.role,
            database.term,
            database.promised,
            database.history,
            self.follows,
        )
