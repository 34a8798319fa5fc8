"""Roaming callers: requests that go to another proxy when one can't serve.

A repeat carries the same request id, so a write runs once however often it is
sent. What a proxy refused as not run for a reason that another one may not
have, and what was lost with its connection, is sent again; the rest is told.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import request
from fescueshunt_cli import caller

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Sequence

RETRYABLE = (
    errors.ConnectionLostError,
    errors.StoppingError,
    errors.NoRouteError,
    errors.NoPrimaryError,
    errors.OverloadedError,
)
MAY_RUN = frozenset(
    {request.Kind.WRITE, request.Kind.COMMIT, request.Kind.OUTCOME}
)
FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 0.5
BUDGET_TOKENS = 20.0
BUDGET_SHARE = 0.2
MIN_TIMEOUT_S = 0.05


@dataclasses.dataclass(slots=True)
class Budget:
    """What retries may cost: a share of the requests, and a reserve."""

    tokens: float = BUDGET_TOKENS

    def earn(self) -> None:
        """Counts a request."""
        self.tokens = min(self.tokens + BUDGET_SHARE, BUDGET_TOKENS)

    def spend(self) -> bool:
        """Tells whether one more retry is within the budget, and counts it."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Roaming:
    """A caller's session on whichever of several proxies serves it.

    Attributes:
      token: what the session remembers, on every proxy.
      retries: how many requests were sent again.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        tasks: contextlib.AsyncExitStack,
        chance: random.Random,
        name: str = "",
    ) -> None:
        self._addresses = list(addresses)
        chance.shuffle(self._addresses)
        self._tasks = tasks
        self._chance = chance
        self._name = name
        self._budget = Budget()
        self._session: caller.Session | None = None
        self._dialing = asyncio.Lock()
        self.token = caller.Token()
        self.retries = 0

    async def send(self, req: request.Request) -> request.Answer:
        """Sends a request until it is served, refused for good, or late."""
        now = asyncio.get_running_loop().time
        deadline = now() + req.timeout_s
        pause_s = FIRST_PAUSE_S
        self._budget.earn()
        in_doubt = False
        while True:
            answer = await self._try(req, deadline - now())
            in_doubt = in_doubt or _may_have_run(req, answer)
            left_s = deadline - now()
            if not self._may_retry(answer, left_s):
                return _make_safe(answer, in_doubt)
            self.retries += 1
            wait_s = answer.error.retry_after_s
            wait_s += self._chance.uniform(0.0, pause_s)
            await asyncio.sleep(min(wait_s, left_s))
            pause_s = min(2 * pause_s, MAX_PAUSE_S)

    def _may_retry(self, answer: request.Answer, left_s: float) -> bool:
        if not isinstance(answer.error, RETRYABLE) or left_s < MIN_TIMEOUT_S:
            return False
        return self._budget.spend()

    async def _try(self, req: request.Request, left_s: float) -> request.Answer:
        try:
            async with asyncio.timeout(left_s):
                session = await self._connect()
        except (errors.FescueshuntError, TimeoutError):
            self._move_on(None)
            error = errors.NoRouteError("no proxy can be reached")
            return request.Answer(req.request_id, error=error)
        left = dataclasses.replace(req, timeout_s=max(left_s, MIN_TIMEOUT_S))
        answer = await session.send(left)
        is_busy = isinstance(answer.error, errors.OverloadedError)
        if isinstance(answer.error, RETRYABLE) and not is_busy:
            self._move_on(session)
        return answer

    async def _connect(self) -> caller.Session:
        async with self._dialing:
            if self._session is None:
                self._session = await self._tasks.enter_async_context(
                    caller.session(self._addresses[0], self._name, self.token)
                )
            return self._session

    def _move_on(self, failed: caller.Session | None) -> None:
        """Turns to the next proxy, unless another request did so already."""
        if failed is self._session:
            self._addresses.append(self._addresses.pop(0))
            self._session = None


@contextlib.asynccontextmanager
async def roaming(
    addresses: Sequence[str], chance: random.Random, name: str = ""
) -> AsyncIterator[Roaming]:
    """Opens a session that roams between the proxies at `addresses`."""
    async with contextlib.AsyncExitStack() as tasks:
        yield Roaming(addresses, tasks, chance, name)


def _may_have_run(req: request.Request, answer: request.Answer) -> bool:
    unknown = answer.outcome is errors.Outcome.UNKNOWN
    return unknown and req.kind in MAY_RUN


def _make_safe(answer: request.Answer, in_doubt: bool) -> request.Answer:
    """Says nothing of not run or failed once a try may have run."""
    error = answer.error
    settled = (errors.RequestCancelledError, errors.RequestIdReusedError)
    if error is None or not in_doubt or isinstance(error, settled):
        return answer
    unknown = errors.OutcomeUnknownError(str(error))
    return dataclasses.replace(answer, error=unknown)
