"""Client sessions that retry requests on other proxies.

A retry has the same request id, so a write runs at most once however often it
is sent. A request is retried if its connection was lost, or if the proxy
refused it without running it for a reason that may not apply to another proxy.
Any other answer is returned to the caller.
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

RETRYABLE_ERRORS = (
    errors.ConnectionLostError,
    errors.StoppingError,
    errors.NoRouteError,
    errors.NoPrimaryError,
    errors.OverloadedError,
)
KINDS_WITH_EFFECT = frozenset(
    {request.Kind.WRITE, request.Kind.COMMIT, request.Kind.OUTCOME}
)
INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5
MAX_RETRY_TOKENS = 20.0
RETRY_TOKENS_PER_REQUEST = 0.2
MIN_TIMEOUT_S = 0.05


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """A token bucket that limits retries to a share of the requests.

    Each retry costs one token. The bucket starts full, which permits a burst
    of retries.
    """

    tokens: float = MAX_RETRY_TOKENS

    def record_request(self) -> None:
        """Adds the tokens that one request earns, up to the maximum."""
        self.tokens = min(
            self.tokens + RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS
        )

    def try_consume(self) -> bool:
        """Consumes a token for a retry; returns False if none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RoamingSession:
    """A caller's session that switches between several proxies.

    Attributes:
      token: the read-your-writes state, shared by the sessions on all proxies.
      retries: the number of retries so far.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        exit_stack: contextlib.AsyncExitStack,
        rng: random.Random,
        name: str = "",
    ) -> None:
        self._addresses = list(addresses)
        rng.shuffle(self._addresses)
        self._exit_stack = exit_stack
        self._rng = rng
        self._name = name
        self._retry_budget = RetryBudget()
        self._session: caller.Session | None = None
        self._connect_lock = asyncio.Lock()
        self.token = caller.Token()
        self.retries = 0

    async def send(self, req: request.Request) -> request.Answer:
        """Sends a request, with retries, and returns the last answer.

        Retries end with a final answer, at the deadline, or when the retry
        budget is used up.
        """
        now = asyncio.get_running_loop().time
        deadline = now() + req.timeout_s
        backoff_s = INITIAL_BACKOFF_S
        self._retry_budget.record_request()
        in_doubt = False
        while True:
            answer = await self._attempt(req, deadline - now())
            in_doubt = in_doubt or _may_have_run(req, answer)
            remaining_s = deadline - now()
            if not self._may_retry(answer, remaining_s):
                return _report_unknown_outcome(answer, in_doubt)
            self.retries += 1
            delay_s = answer.error.retry_after_s
            delay_s += self._rng.uniform(0.0, backoff_s)
            await asyncio.sleep(min(delay_s, remaining_s))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def _may_retry(self, answer: request.Answer, remaining_s: float) -> bool:
        if (
            not isinstance(answer.error, RETRYABLE_ERRORS)
            or remaining_s < MIN_TIMEOUT_S
        ):
            return False
        return self._retry_budget.try_consume()

    async def _attempt(
        self, req: request.Request, remaining_s: float
    ) -> request.Answer:
        try:
            async with asyncio.timeout(remaining_s):
                session = await self._connect()
        except (errors.FescueshuntError, TimeoutError):
            self._switch_proxy(None)
            error = errors.NoRouteError("no proxy can be reached")
            return request.Answer(req.request_id, error=error)
        attempt = dataclasses.replace(
            req, timeout_s=max(remaining_s, MIN_TIMEOUT_S)
        )
        answer = await session.send(attempt)
        is_overloaded = isinstance(answer.error, errors.OverloadedError)
        if isinstance(answer.error, RETRYABLE_ERRORS) and not is_overloaded:
            self._switch_proxy(session)
        return answer

    async def _connect(self) -> caller.Session:
        async with self._connect_lock:
            if self._session is None:
                self._session = await self._exit_stack.enter_async_context(
                    caller.session(self._addresses[0], self._name, self.token)
                )
            return self._session

    def _switch_proxy(self, failed: caller.Session | None) -> None:
        """Switches to the next proxy.

        Does nothing if the session is no longer `failed`, that is, if another
        request has switched already.
        """
        if failed is self._session:
            self._addresses.append(self._addresses.pop(0))
            self._session = None


@contextlib.asynccontextmanager
async def roaming_session(
    addresses: Sequence[str], rng: random.Random, name: str = ""
) -> AsyncIterator[RoamingSession]:
    """Opens a session that switches between the proxies at `addresses`."""
    async with contextlib.AsyncExitStack() as exit_stack:
        yield RoamingSession(addresses, exit_stack, rng, name)


def _may_have_run(req: request.Request, answer: request.Answer) -> bool:
    unknown = answer.outcome is errors.Outcome.UNKNOWN
    return unknown and req.kind in KINDS_WITH_EFFECT


def _report_unknown_outcome(
    answer: request.Answer, in_doubt: bool
) -> request.Answer:
    """Reports an unknown outcome if an earlier attempt may have run.

    An error of the last attempt, such as "not run", says nothing about the
    earlier ones.
    """
    error = answer.error
    final_errors = (errors.RequestCancelledError, errors.RequestIdReusedError)
    if error is None or not in_doubt or isinstance(error, final_errors):
        return answer
    unknown = errors.OutcomeUnknownError(str(error))
    return dataclasses.replace(answer, error=unknown)
