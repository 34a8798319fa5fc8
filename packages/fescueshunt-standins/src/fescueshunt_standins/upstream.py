"""Upstream stand-in: the server process, with slots and log replication."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
from collections.abc import AsyncIterator
from typing import Any

import pydantic

from fescueshunt import errors
from fescueshunt.core import position, upstream
from fescueshunt_standins import engine, process
from fescueshunt_wire import channel, platform, replication, transport

LOG_READ_WAIT_S = 0.5
LOG_READ_TIMEOUT_S = 1.5
RETRY_DELAY_S = 0.05


class UpstreamSettings(pydantic.BaseModel):
    """The settings of an upstream stand-in, section [upstream].

    Attributes:
      name: the name of the upstream.
      zone: its availability zone.
      listen: the address to listen on.
      primary: the address of the first primary; empty for that primary itself.
      slots: the number of statement batches that can run at the same time.
      connections: the maximum number of open connections.
      connect_ms: the time to open a connection, in milliseconds.
      statement_ms: the time that a slot is held before the statements run, in
        milliseconds.
      lag_ms: the replication lag at the start, in milliseconds.
      zone_ms: the one-way delay to callers in another zone, in milliseconds;
        it applies from the `Hello` message on, which states the caller's zone.
      schema_sql: the statements that create the schema, separated by `;`.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)
    name: str
    zone: str
    listen: str
    primary: str = ""
    slots: int = pydantic.Field(ge=1)
    connections: int = pydantic.Field(ge=1)
    connect_ms: float = pydantic.Field(12.0, ge=0)
    statement_ms: float = pydantic.Field(0.5, ge=0)
    lag_ms: float = pydantic.Field(0.0, ge=0)
    zone_ms: float = pydantic.Field(0.0, ge=0)
    schema_sql: str = ""


@dataclasses.dataclass(slots=True)
class Session:
    """The state of one connection to the stand-in.

    Attributes:
      open: whether `Hello` was accepted and the connection is counted.
      in_transaction: whether the session holds the write lock.
      round_trip_s: the simulated network delay of each call, in seconds.
    """

    open: bool = False
    in_transaction: bool = False
    round_trip_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class DelayedRead:
    """Log entries read in `term`, which the replica applies at `apply_at`."""

    apply_at: float
    term: position.Term
    log_read: replication.LogRead


class Upstream:
    """Serves the calls of proxies and other stand-ins on one engine."""

    def __init__(self, cfg: UpstreamSettings) -> None:
        self._cfg = cfg
        schema = tuple(
            sql.strip() for sql in cfg.schema_sql.split(";") if sql.strip()
        )
        self._engine = engine.Engine(not cfg.primary, schema)
        self._slots = asyncio.Semaphore(cfg.slots)
        self._write_lock = asyncio.Lock()
        self._state_changed = asyncio.Condition()
        self._fault = platform.SetFault(lag_s=cfg.lag_ms / 1000)
        self._primary_address = cfg.primary
        self._connection_count = 0

    async def serve(self, conn: transport.Connection) -> None:
        """Serves one connection until it is closed."""
        session = Session()
        try:
            await channel.serve_calls(
                conn, lambda message: self._handle(session, message)
            )
        finally:
            self._close_session(session)

    async def replicate(self) -> None:
        """Replicates from the current primary until cancelled."""
        while True:
            address = self._primary_address
            if self._engine.role is not upstream.Role.REPLICA or not address:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            with contextlib.suppress(errors.FescueshuntError):
                async with channel.connect(address) as primary:
                    await self._replicate_from(primary, address)
            await asyncio.sleep(RETRY_DELAY_S)

    async def _replicate_from(
        self, primary: channel.Channel, address: str
    ) -> None:
        """Reads the primary's log and applies it after the replication lag."""
        pending_reads: asyncio.Queue[DelayedRead] = asyncio.Queue()
        apply_task = asyncio.create_task(self._apply_reads(pending_reads))
        try:
            await self._fetch_log(primary, address, pending_reads)
        finally:
            apply_task.cancel()

    async def _fetch_log(
        self,
        primary: channel.Channel,
        address: str,
        pending_reads: asyncio.Queue[DelayedRead],
    ) -> None:
        database = self._engine
        loop = asyncio.get_running_loop()
        fetched_history = database.history
        while address == self._primary_address:
            if database.role is not upstream.Role.REPLICA:
                return
            term = database.term
            call = replication.ReadLog(term, fetched_history, LOG_READ_WAIT_S)
            log_read = await primary.call(call, LOG_READ_TIMEOUT_S)
            if not log_read.accepted:
                return
            apply_at = loop.time() + self._fault.lag_s
            pending_reads.put_nowait(DelayedRead(apply_at, term, log_read))
            if log_read.after != fetched_history.end:
                await pending_reads.join()
                fetched_history = database.history
                continue
            for entry in log_read.entries:
                fetched_history = fetched_history.extend(entry.term)

    async def _apply_reads(
        self, pending_reads: asyncio.Queue[DelayedRead]
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            delayed = await pending_reads.get()
            if delayed.apply_at > loop.time():
                await asyncio.sleep(delayed.apply_at - loop.time())
            self._engine.apply_log(delayed.term, delayed.log_read)
            await self._notify_waiters()
            pending_reads.task_done()

    async def _handle(self, session: Session, message: Any) -> Any:
        if isinstance(message, platform.SetFault):
            self._fault = message
            return platform.Done()
        if self._fault.down:
            return None
        delay_s = self._fault.delay_s + session.round_trip_s
        if delay_s:
            await asyncio.sleep(delay_s)
        match message:
            case upstream.Hello():
                return await self._handle_hello(session, message)
            case upstream.Execute():
                return await self._handle_execute(session, message)
            case replication.ReadLog():
                return await self._read_log(message)
            case _:
                return await self._handle_control(message)

    async def _handle_hello(
        self, session: Session, call: upstream.Hello
    ) -> upstream.Reply:
        if call.zone != self._cfg.zone:
            session.round_trip_s = 2 * self._cfg.zone_ms / 1000
        if self._connection_count >= self._cfg.connections:
            return self._rejected_reply(
                engine.RejectionError(upstream.Reason.TOO_MANY_CONNECTIONS)
            )
        self._connection_count += 1
        session.open = True
        await asyncio.sleep(self._cfg.connect_ms / 1000)
        return upstream.Welcome(self._cfg.name)

    async def _handle_control(self, message: Any) -> Any:
        match message:
            case upstream.ReadStatus():
                return await self._wait_for_status(message)
            case upstream.Fence():
                accepted = self._engine.fence(message.term)
                await self._notify_waiters()
                return upstream.Fenced(
                    accepted, self._engine.promised, self._engine.history
                )
            case upstream.Promote():
                accepted = self._engine.promote(message.term)
                await self._notify_waiters()
                return upstream.Promoted(
                    accepted, self._engine.promised, self._engine.history
                )
            case upstream.Follow():
                accepted = self._engine.follow(message.term)
                if accepted:
                    self._primary_address = message.address
                await self._notify_waiters()
                return upstream.Followed(accepted, self._engine.promised)
            case _:
                raise errors.FrameOrderError(type(message).__name__)

    async def _wait_for_status(
        self, call: upstream.ReadStatus
    ) -> upstream.Status:
        database = self._engine

        def has_new_term() -> bool:
            return (database.history.branches, database.promised) != (
                call.seen.branches,
                call.promised,
            )

        def has_changed() -> bool:
            return has_new_term() or database.history != call.seen

        if call.hold_s:
            await self._wait_for(has_new_term, call.hold_s)
        await self._wait_for(has_changed, call.wait_s - call.hold_s)
        return upstream.Status(
            self._cfg.name,
            database.role,
            database.term,
            database.promised,
            database.history,
            self._primary_address,
            self._connection_count,
            self._cfg.slots - self._slots._value,
        )

    async def _read_log(self, call: replication.ReadLog) -> replication.LogRead:
        def has_new_entries() -> bool:
            return self._engine.history != call.history

        await self._wait_for(has_new_entries, call.wait_s)
        return self._engine.entries_after(call.term, call.history)

    async def _wait_for(self, condition: Any, wait_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self._state_changed:
                await self._state_changed.wait_for(condition)

    async def _notify_waiters(self) -> None:
        async with self._state_changed:
            self._state_changed.notify_all()

    async def _handle_execute(
        self, session: Session, call: upstream.Execute
    ) -> upstream.Reply:
        if not session.open:
            raise errors.FrameOrderError("no Hello message before Execute")
        try:
            if call.mode is upstream.Mode.BEGIN:
                await self._begin_transaction(session, call.term)
            async with self._slots:
                await asyncio.sleep(self._cfg.statement_ms / 1000)
                return await self._run_statements(session, call)
        except engine.RejectionError as exc:
            if call.mode is not upstream.Mode.READ:
                self._abort_transaction(session)
            return self._rejected_reply(exc)

    async def _run_statements(
        self, session: Session, call: upstream.Execute
    ) -> upstream.Executed:
        database = self._engine
        if call.mode is upstream.Mode.READ:
            return self._executed_reply(database.read(call.statements))
        if call.mode is upstream.Mode.ROLLBACK:
            self._abort_transaction(session)
            return self._executed_reply(())
        if not session.in_transaction:
            raise engine.RejectionError(upstream.Reason.NO_TRANSACTION)
        database.check_primary(call.term)
        results = database.execute(call.statements)
        if call.mode is upstream.Mode.COMMIT:
            database.commit()
            self._release_write_lock(session)
            reply = self._executed_reply(results)
            await self._notify_waiters()
            return reply
        return self._executed_reply(results)

    async def _begin_transaction(
        self, session: Session, term: position.Term
    ) -> None:
        """Acquires the write lock and begins a transaction, without a slot.

        If waiting transactions held slots, they could occupy all of them, and
        the transaction that holds the lock could never commit.
        """
        if session.in_transaction:
            self._abort_transaction(session)
        self._engine.check_primary(term)
        await self._write_lock.acquire()
        session.in_transaction = True
        self._engine.check_primary(term)
        self._engine.begin()

    def _executed_reply(self, results: Any) -> upstream.Executed:
        return upstream.Executed(
            results, self._engine.history, self._engine.promised
        )

    def _rejected_reply(self, exc: engine.RejectionError) -> upstream.Rejected:
        return upstream.Rejected(
            exc.reason, exc.detail, exc.statement, self._engine.promised
        )

    def _abort_transaction(self, session: Session) -> None:
        if session.in_transaction:
            self._engine.rollback()
            self._release_write_lock(session)

    def _release_write_lock(self, session: Session) -> None:
        session.in_transaction = False
        self._write_lock.release()

    def _close_session(self, session: Session) -> None:
        self._abort_transaction(session)
        if session.open:
            session.open = False
            self._connection_count -= 1


@contextlib.asynccontextmanager
async def running(cfg: UpstreamSettings) -> AsyncIterator[str]:
    """Serves an upstream stand-in and yields the bound address."""
    server = Upstream(cfg)
    async with transport.listen(cfg.listen, server.serve) as address:
        replication_task = asyncio.create_task(server.replicate())
        try:
            yield address
        finally:
            replication_task.cancel()


def main(settings: pathlib.Path) -> None:
    """Runs an upstream stand-in with the settings of an INI file.

    Args:
      settings: the path of the INI file.
    """
    process.run(settings, "upstream", UpstreamSettings, running)


if __name__ == "__main__":
    process.run_command_line(main)
