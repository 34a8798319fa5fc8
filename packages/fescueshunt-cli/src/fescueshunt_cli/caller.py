"""Client library for callers: read-your-writes sessions on any proxy."""

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

RANDOM_BYTES = 10
ANSWER_GRACE_S = 0.25
DEFAULT_TIMEOUT_S = 5.0


@dataclasses.dataclass(slots=True)
class Token:
    """The state for read-your-writes consistency on any proxy.

    Attributes:
      positions: the position of the session's last write in each database.
      databases_in_doubt: the databases in which a write of the session has an
        unknown outcome.
    """

    positions: dict[str, position.Position] = dataclasses.field(
        default_factory=dict
    )
    databases_in_doubt: set[str] = dataclasses.field(default_factory=set)


def new_request_id() -> bytes:
    """Returns a new request id from the wall clock time and random bytes."""
    return request.make_request_id(time.time(), os.urandom(RANDOM_BYTES))


class Session:
    """A caller's session on one proxy.

    Attributes:
      token: the read-your-writes state, which a session on another proxy can
        continue with.
    """

    def __init__(
        self,
        proxy_channel: channel.Channel,
        caller: str,
        token: Token | None = None,
    ) -> None:
        self._channel = proxy_channel
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
        """Runs a read and returns the answer, which may contain an error."""
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
        """Runs a write and returns the answer, which may contain an error.

        A retry with the same `request_id` does not run the write again.
        """
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
        """Returns the outcome of the earlier write `request_id`.

        A write that has not run by then will not run later.
        """
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
        """Opens a transaction for the duration of a `with` block.

        The transaction is committed at the end of the block, or rolled back if
        the block raises an exception.

        Raises:
          FescueshuntError: if the transaction can't be opened or committed.
        """
        begin_id = new_request_id()
        req = request.Request(begin_id, service, database, request.Kind.BEGIN)
        _raise_on_error(await self.send(req))
        transaction = Transaction(self, req, commit_id or new_request_id())
        try:
            yield transaction
        except BaseException:
            await transaction.end(request.Kind.ROLLBACK)
            raise
        transaction.answer = await transaction.end(request.Kind.COMMIT)
        _raise_on_error(transaction.answer)

    async def send(self, req: request.Request) -> request.Answer:
        """Sends a request with the session's token and updates the token.

        Returns:
          The answer; if the connection fails first, an answer with that error.
        """
        req = dataclasses.replace(
            req,
            caller=self._caller,
            after=self.token.positions.get(req.database),
            unsure=req.database in self.token.databases_in_doubt,
        )
        answer = await self._call(req)
        self._update_token(req, answer)
        return answer

    async def _call(self, req: request.Request) -> request.Answer:
        if self._channel.is_closed:
            error = errors.NoRouteError("the connection is closed")
            return request.Answer(req.request_id, error=error)
        try:
            answer = await self._channel.call(
                req, req.timeout_s + ANSWER_GRACE_S
            )
        except errors.FescueshuntError as exc:
            return request.Answer(req.request_id, error=exc)
        is_answer = isinstance(answer, request.Answer)
        if not is_answer or answer.request_id != req.request_id:
            error = errors.ConnectionLostError(
                "the answer does not match the request"
            )
            return request.Answer(req.request_id, error=error)
        return answer

    def _update_token(
        self, req: request.Request, answer: request.Answer
    ) -> None:
        if answer.token is not None:
            previous = self.token.positions.get(req.database, position.ORIGIN)
            self.token.positions[req.database] = max(previous, answer.token)
            self.token.databases_in_doubt.discard(req.database)
        is_write = req.kind in (request.Kind.WRITE, request.Kind.COMMIT)
        if is_write and answer.outcome is errors.Outcome.UNKNOWN:
            self.token.databases_in_doubt.add(req.database)


class Transaction:
    """An open transaction of a session.

    Attributes:
      answer: the answer to the commit, or None before the commit.
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
          FescueshuntError: if a statement failed; the transaction is then
            rolled back.
        """
        req = dataclasses.replace(
            self._begin,
            request_id=new_request_id(),
            kind=request.Kind.STEP,
            statements=statements,
            transaction=self._begin.request_id,
        )
        answer = await self._session.send(req)
        _raise_on_error(answer)
        return answer

    async def end(self, kind: request.Kind) -> request.Answer:
        """Ends the transaction and returns the answer.

        Args:
          kind: `Kind.COMMIT` or `Kind.ROLLBACK`.
        """
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
    async with channel.connect(address) as proxy_channel:
        yield Session(proxy_channel, caller, token)


def _raise_on_error(answer: request.Answer) -> None:
    if answer.error is not None:
        raise answer.error
