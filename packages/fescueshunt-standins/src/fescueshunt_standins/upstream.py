"""The upstream stand-in as a process: slots, connections, replication."""

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

LOG_WAIT_S = 0.5
LOG_TIMEOUT_S = 1.5
RETRY_S = 0.05


class UpstreamSettings(pydantic.BaseModel):
    """The settings of an upstream stand-in, section [upstream].

    Times in milliseconds; `zone_ms` is the delay one way to callers of another
    zone, once they said theirs. `primary` is the address of the first primary,
    empty for the first primary itself. `schema_sql` runs when it starts.
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
    """One connection to the stand-in; `delay_s` is its round trip."""

    open: bool = False
    in_transaction: bool = False
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class DelayedRead:
    """What a replica has read in `term` and applies at `due`."""

    due: float
    term: position.Term
    read: replication.LogRead


class Upstream:
    """Serves one engine: calls of proxies and of other stand-ins."""

    def __init__(self, cfg: UpstreamSettings) -> None:
        self._cfg = cfg
        schema = tuple(
            sql.strip() for sql in cfg.schema_sql.split(";") if sql.strip()
        )
        self._engine = engine.Engine(not cfg.primary, schema)
        self._slots = asyncio.Semaphore(cfg.slots)
        self._writer = asyncio.Lock()
        self._changed = asyncio.Condition()
        self._fault = platform.SetFault(lag_s=cfg.lag_ms / 1000)
        self._primary = cfg.primary
        self._connections = 0

    async def serve(self, conn: transport.Connection) -> None:
        """Serves one connection until it ends."""
        session = Session()
        try:
            await channel.serve_calls(
                conn, lambda message: self._handle(session, message)
            )
        finally:
            self._close(session)

    async def replicate(self) -> None:
        """Follows the primary, whoever it is, for ever."""
        while True:
            address = self._primary
            if self._engine.role is not upstream.Role.REPLICA or not address:
                await asyncio.sleep(RETRY_S)
                continue
            with contextlib.suppress(errors.FescueshuntError):
                async with channel.connect(address) as primary:
                    await self._follow(primary, address)
            await asyncio.sleep(RETRY_S)

    async def _follow(self, primary: channel.Channel, address: str) -> None:
        """Reads the primary's log and applies it as late as the lag says."""
        waiting: asyncio.Queue[DelayedRead] = asyncio.Queue()
        applying = asyncio.create_task(self._apply(waiting))
        try:
            await self._fetch(primary, address, waiting)
        finally:
            applying.cancel()

    async def _fetch(
        self,
        primary: channel.Channel,
        address: str,
        waiting: asyncio.Queue[DelayedRead],
    ) -> None:
        current = self._engine
        loop = asyncio.get_running_loop()
        fetched = current.history
        while address == self._primary:
            if current.role is not upstream.Role.REPLICA:
                return
            term = current.term
            call = replication.ReadLog(term, fetched, LOG_WAIT_S)
            read = await primary.call(call, LOG_TIMEOUT_S)
            if not read.accepted:
                return
            due = loop.time() + self._fault.lag_s
            waiting.put_nowait(DelayedRead(due, term, read))
            if read.after != fetched.end:
                await waiting.join()
                fetched = current.history
                continue
            for entry in read.entries:
                fetched = fetched.extend(entry.term)

    async def _apply(self, waiting: asyncio.Queue[DelayedRead]) -> None:
        loop = asyncio.get_running_loop()
        while True:
            delayed = await waiting.get()
            if delayed.due > loop.time():
                await asyncio.sleep(delayed.due - loop.time())
            self._engine.replicate(delayed.term, delayed.read)
            await self._announce()
            waiting.task_done()

    async def _handle(self, session: Session, message: Any) -> Any:
        if isinstance(message, platform.SetFault):
            self._fault = message
            return platform.Done()
        if self._fault.down:
            return None
        delay_s = self._fault.delay_s + session.delay_s
        if delay_s:
            await asyncio.sleep(delay_s)
        match message:
            case upstream.Hello():
                return await self._hello(session, message)
            case upstream.Execute():
                return await self._execute(session, message)
            case replication.ReadLog():
                return await self._read_log(message)
            case _:
                return await self._control(message)

    async def _hello(
        self, session: Session, call: upstream.Hello
    ) -> upstream.Reply:
        if call.zone != self._cfg.zone:
            session.delay_s = 2 * self._cfg.zone_ms / 1000
        if self._connections >= self._cfg.connections:
            return self._reject(
                engine.RejectionError(upstream.Reason.TOO_MANY_CONNECTIONS)
            )
        self._connections += 1
        session.open = True
        await asyncio.sleep(self._cfg.connect_ms / 1000)
        return upstream.Welcome(self._cfg.name)

    async def _control(self, message: Any) -> Any:
        match message:
            case upstream.ReadStatus():
                return await self._status(message)
            case upstream.Fence():
                accepted = self._engine.fence(message.term)
                await self._announce()
                return upstream.Fenced(
                    accepted, self._engine.promised, self._engine.history
                )
            case upstream.Promote():
                accepted = self._engine.promote(message.term)
                await self._announce()
                return upstream.Promoted(
                    accepted, self._engine.promised, self._engine.history
                )
            case upstream.Follow():
                accepted = self._engine.follow(message.term)
                if accepted:
                    self._primary = message.address
                await self._announce()
                return upstream.Followed(accepted, self._engine.promised)
            case _:
                raise errors.FrameOrderError(type(message).__name__)

    async def _status(self, call: upstream.ReadStatus) -> upstream.Status:
        current = self._engine

        def is_urgent() -> bool:
            return (current.history.branches, current.promised) != (
                call.seen.branches,
                call.promised,
            )

        def is_new() -> bool:
            return is_urgent() or current.history != call.seen

        if call.hold_s:
            await self._wait_for(is_urgent, call.hold_s)
        await self._wait_for(is_new, call.wait_s - call.hold_s)
        return upstream.Status(
            self._cfg.name,
            current.role,
            current.term,
            current.promised,
            current.history,
            self._primary,
            self._connections,
            self._cfg.slots - self._slots._value,
        )

    async def _read_log(self, call: replication.ReadLog) -> replication.LogRead:
        def is_new() -> bool:
            return self._engine.history != call.history

        await self._wait_for(is_new, call.wait_s)
        return self._engine.entries_after(call.term, call.history)

    async def _wait_for(self, condition: Any, wait_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(condition)

    async def _announce(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _execute(
        self, session: Session, call: upstream.Execute
    ) -> upstream.Reply:
        if not session.open:
            raise errors.FrameOrderError("no hello")
        try:
            if call.mode is upstream.Mode.BEGIN:
                await self._begin(session, call.term)
            async with self._slots:
                await asyncio.sleep(self._cfg.statement_ms / 1000)
                return await self._run(session, call)
        except engine.RejectionError as exc:
            if call.mode is not upstream.Mode.READ:
                self._abort(session)
            return self._reject(exc)

    async def _run(
        self, session: Session, call: upstream.Execute
    ) -> upstream.Executed:
        current = self._engine
        if call.mode is upstream.Mode.READ:
            return self._executed(current.read(call.statements))
        if call.mode is upstream.Mode.ROLLBACK:
            self._abort(session)
            return self._executed(())
        if not session.in_transaction:
            raise engine.RejectionError(upstream.Reason.NO_TRANSACTION)
        current.check_primary(call.term)
        results = current.step(call.statements)
        if call.mode is upstream.Mode.COMMIT:
            current.commit()
            self._release(session)
            executed = self._executed(results)
            await self._announce()
            return executed
        return self._executed(results)

    async def _begin(self, session: Session, term: position.Term) -> None:
        """Waits for the writer's lock, without a slot.

        With one, transactions that wait could hold every slot, and the one
        that they wait for could never commit.
        """
        if session.in_transaction:
            self._abort(session)
        self._engine.check_primary(term)
        await self._writer.acquire()
        session.in_transaction = True
        self._engine.check_primary(term)
        self._engine.begin()

    def _executed(self, results: Any) -> upstream.Executed:
        return upstream.Executed(
            results, self._engine.history, self._engine.promised
        )

    def _reject(self, exc: engine.RejectionError) -> upstream.Rejected:
        return upstream.Rejected(
            exc.reason, exc.detail, exc.statement, self._engine.promised
        )

    def _abort(self, session: Session) -> None:
        if session.in_transaction:
            self._engine.rollback()
            self._release(session)

    def _release(self, session: Session) -> None:
        session.in_transaction = False
        self._writer.release()

    def _close(self, session: Session) -> None:
        self._abort(session)
        if session.open:
            session.open = False
            self._connections -= 1


@contextlib.asynccontextmanager
async def running(cfg: UpstreamSettings) -> AsyncIterator[str]:
    """Runs an upstream stand-in; yields its address."""
    served = Upstream(cfg)
    async with transport.listen(cfg.listen, served.serve) as address:
        replicating = asyncio.create_task(served.replicate())
        try:
            yield address
        finally:
            replicating.cancel()


def main(settings: pathlib.Path) -> None:
    """Runs an upstream stand-in with the INI file `settings`."""
    process.run(settings, "upstream", UpstreamSettings, running)


if __name__ == "__main__":
    process.start(main)
