"""The caller library: sessions with read-your-writes on any proxy."""

from __future__ import annotations

import contextlib
import dataclasses
import os
import time
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import position, request
from fescueshunt_wire import channel

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

NOISE_BYTES = 10
GRACE_S = 0.25
DEFAULT_TIMEOUT_S = 5.0


@dataclasses.dataclass(slots=True)
class Token:
    """What a session remembers: its last write in each database.

    `unsure` names databases in which a write has an unknown outcome.
    """

    positions: dict[str, position.Position] = dataclasses.field(
        default_factory=dict
    )
    unsure: set[str] = dataclasses.field(default_factory=set)


def new_request_id() -> bytes:
    """Returns a fresh request id."""
    return request.make_request_id(time.time(), os.urandom(NOISE_BYTES))


class Session:
    """A caller's session on one proxy; its token may roam to another."""

    def __init__(
        self, calls: channel.Channel, caller: str, token: Token | None = None
    ) -> None:
        self._calls = calls
        self._caller = caller
        self.token = token or Token()

    async def read(
        self,
        service: str,
        database: str,
        *statements: request.Statement,
        max_age_s: float | None = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> request.Answer:
        """Runs a read and returns its answer, also when that is an error."""
        req = request.Request(
            new_request_id(),
            service,
            database,
            request.Kind.READ,
            statements,
            max_age_s=max_age_s,
            timeout_s=timeout_s,
        )
        return await self.send(req)

    async def write(
        self,
        service: str,
        database: str,
        *statements: request.Statement,
        request_id: bytes = b"",
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> request.Answer:
        """Runs a write once; a repeat gives the same `request_id`."""
        req = request.Request(
            request_id or new_request_id(),
            service,
            database,
            request.Kind.WRITE,
            statements,
            timeout_s=timeout_s,
        )
        return await self.send(req)

    async def outcome(
        self, service: str, database: str, request_id: bytes
    ) -> request.Answer:
        """Asks what became of an earlier write, and settles it."""
        req = request.Request(
            new_request_id(),
            service,
            database,
            request.Kind.OUTCOME,
            transaction=request_id,
        )
        return await self.send(req)

    @contextlib.asynccontextmanager
    async def transaction(
        self, service: str, database: str, commit_id: bytes = b""
    ) -> AsyncIterator[Transaction]:
        """Opens a transaction; commits in the end, rolls back on an error.

        Raises:
          FescueshuntError: if the transaction can't be opened or committed.
        """
        begin_id = new_request_id()
        req = request.Request(begin_id, service, database, request.Kind.BEGIN)
        _raise_for(await self.send(req))
        opened = Transaction(self, req, commit_id or new_request_id())
        try:
            yield opened
        except BaseException:
            await opened.end(request.Kind.ROLLBACK)
            raise
        opened.answer = await opened.end(request.Kind.COMMIT)
        _raise_for(opened.answer)

    async def send(self, req: request.Request) -> request.Answer:
        """Sends a request with the session's token and notes the answer's.

        A connection that ends first gives an answer with that error.
        """
        req = dataclasses.replace(
            req,
            caller=self._caller,
            after=self.token.positions.get(req.database),
            unsure=req.database in self.token.unsure,
        )
        answer = await self._call(req)
        self._note(req, answer)
        return answer

    async def _call(self, req: request.Request) -> request.Answer:
        if self._calls.is_closed:
            error = errors.NoRouteError("the connection is closed")
            return request.Answer(req.request_id, error=error)
        try:
            answer = await self._calls.call(req, req.timeout_s + GRACE_S)
        except errors.FescueshuntError as exc:
            return request.Answer(req.request_id, error=exc)
        is_answer = isinstance(answer, request.Answer)
        if not is_answer or answer.request_id != req.request_id:
            error = errors.ConnectionLostError("not an answer to this")
            return request.Answer(req.request_id, error=error)
        return answer

    def _note(self, req: request.Request, answer: request.Answer) -> None:
        if answer.token is not None:
            known = self.token.positions.get(req.database, position.ORIGIN)
            self.token.positions[req.database] = max(known, answer.token)
            self.token.unsure.discard(req.database)
        is_write = req.kind in (request.Kind.WRITE, request.Kind.COMMIT)
        if is_write and answer.outcome is errors.Outcome.UNKNOWN:
            self.token.unsure.add(req.database)


class Transaction:
    """An open transaction of a session.

    Attributes:
      answer: the answer to the commit, None before it.
    """

    def __init__(
        self, session: Session, begin: request.Request, commit_id: bytes
    ) -> None:
        self._session = session
        self._begin = begin
        self._commit_id = commit_id
        self.answer: request.Answer | None = None

    async def run(self, *statements: request.Statement) -> request.Answer:
        """Runs statements within the transaction.

        Raises:
          FescueshuntError: if they failed; the transaction is rolled back.
        """
        req = dataclasses.replace(
            self._begin,
            request_id=new_request_id(),
            kind=request.Kind.STEP,
            statements=statements,
            transaction=self._begin.request_id,
        )
        answer = await self._session.send(req)
        _raise_for(answer)
        return answer

    async def end(self, kind: request.Kind) -> request.Answer:
        """Commits or rolls back."""
        req = dataclasses.replace(
            self._begin,
            request_id=self._commit_id,
            kind=kind,
            transaction=self._begin.request_id,
        )
        return await self._session.send(req)


@contextlib.asynccontextmanager
async def session(
    address: str, caller: str = "", token: Token | None = None
) -> AsyncIterator[Session]:
    """Opens a session on the proxy at `address`.

    Raises:
      ConnectionLostError: if the proxy can't be reached.
    """
    async with channel.connect(address) as calls:
        yield Session(calls, caller, token)


def _raise_for(answer: request.Answer) -> None:
    if answer.error is not None:
        raise answer.error
