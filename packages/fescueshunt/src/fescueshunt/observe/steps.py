"""The steps that EXPLAIN REQUEST lists for a request.

Each hop of each request creates a step, so a step only stores values and is
formatted as text when an operator asks for it.
"""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING, ClassVar

from fescueshunt.core import request

if TYPE_CHECKING:
    from fescueshunt import errors
    from fescueshunt.core import position


@dataclasses.dataclass(slots=True)
class Step(abc.ABC):
    """A step in the processing of a request.

    Attributes:
      name: the name of the step, which EXPLAIN lists.
      at: when the step took place; seconds, local clock.
      request_id: the id of the request.
    """

    name: ClassVar[str]
    at: float
    request_id: bytes

    @abc.abstractmethod
    def describe(self) -> str:
        """Returns a text for operators that says what was decided and why."""


@dataclasses.dataclass(slots=True)
class RequestReceived(Step):
    """A request arrived from a caller.

    The fields are copies of those of `request.Request`.
    """

    name = "request of a caller"
    kind: request.Kind
    service: str
    database: str
    caller: str
    timeout_s: float
    after: position.Position | None
    unsure: bool
    max_age_s: float | None

    def describe(self) -> str:
        """Returns the service, database, caller and limits of the request."""
        text = (
            f"{self.kind.value} of {self.service} on {self.database} "
            f"by {self.caller or '-'}; {self.timeout_s:g} s to answer"
        )
        if self.after is not None:
            text += f"; after {self.after.index} of term "
            text += str(self.after.term.number)
        if self.unsure:
            text += "; an earlier write has an unknown outcome"
        if self.max_age_s is not None:
            text += f"; age up to {self.max_age_s:g} s"
        return text


@dataclasses.dataclass(slots=True)
class RequestForwarded(Step):
    """The request was forwarded to the home proxy of the chosen upstream."""

    name = "forward"
    home: str
    upstream: str

    def describe(self) -> str:
        """Returns the chosen upstream and its home proxy."""
        return f"chose {self.upstream}, whose home is {self.home}"


@dataclasses.dataclass(slots=True)
class ForwardReceived(Step):
    """A request that another proxy forwarded arrived."""

    name = "request of a proxy"
    sender: str
    upstream: str
    remaining_s: float
    in_doubt: bool

    def describe(self) -> str:
        """Returns the sender, the upstream and the time that remains."""
        return (
            f"from {self.sender} for {self.upstream}; "
            f"{self.remaining_s:.3f} s left; in doubt: {self.in_doubt}"
        )


@dataclasses.dataclass(slots=True)
class RequestReturned(Step):
    """A home proxy returned a forwarded request that it did not complete.

    Attributes:
      peer: "to" and the name of the proxy that the request was returned to, or
        "by" and the name of the proxy that returned it.
      error: why the request was not completed, or None.
      suggested: the upstream to try instead, or "".
      primary: the primary of the database if known, or "".
      in_doubt: whether this attempt, or an earlier one, may have run.
    """

    name = "sent back"
    peer: str
    error: errors.FescueshuntError | None
    suggested: str
    primary: str
    in_doubt: bool

    def describe(self) -> str:
        """Returns why the request was returned and where to try next."""
        text = f"{self.peer}: not run here: {self.error or '-'}"
        if self.suggested:
            text += f"; try {self.suggested}"
        if self.primary:
            text += f"; primary {self.primary}"
        return f"{text}; in doubt: {self.in_doubt}"


@dataclasses.dataclass(slots=True)
class CallStarted(Step):
    """A call was sent to an upstream.

    Attributes:
      mode: the mode or the type of the call.
      upstream: the name of the upstream.
      primary: the primary in the newest group view, "" if unknown.
      term: the term in the newest group view, 0 if unknown.
      confirmed_at: when a majority last supported the term; seconds, local
        clock.
    """

    name = "run"
    mode: str
    upstream: str
    primary: str
    term: int
    confirmed_at: float

    def describe(self) -> str:
        """Returns the call, and the upstream's role in the group view."""
        text = f"{self.mode} on {self.upstream}"
        if not self.term:
            return text
        role = "primary" if self.upstream == self.primary else "replica"
        ago_s = self.at - self.confirmed_at
        return (
            f"{text}, {role} in term {self.term}, which a majority supported "
            f"{ago_s:.3f} s before"
        )


@dataclasses.dataclass(slots=True)
class ReplyReceived(Step):
    """An upstream replied to a call.

    Attributes:
      upstream: the name of the upstream.
      kind: the type of the reply.
      reason: the reason that the reply gives, or "".
      log_end: the index of the end of the upstream's log, 0 if unknown.
    """

    name = "reply"
    upstream: str
    kind: str
    reason: str
    log_end: int

    def describe(self) -> str:
        """Returns the type of the reply, its reason and the end of the log."""
        text = f"{self.upstream}: {self.kind.lower()}"
        if self.reason:
            text += f", {self.reason}"
        return f"{text}, log ends at {self.log_end}" if self.log_end else text


@dataclasses.dataclass(slots=True)
class ConnectionLost(Step):
    """The connection to an upstream ended while a call was in flight."""

    name = "connection lost"
    upstream: str
    error: errors.FescueshuntError

    def describe(self) -> str:
        """Returns the upstream and the error."""
        return f"{self.upstream}: {self.error}"


@dataclasses.dataclass(slots=True)
class RequestAnswered(Step):
    """An answer was sent or received.

    `via` is "" for an answer to a caller. For an answer between proxies it is
    "to" or "of" and the name of the other proxy. The other fields are copies of
    those of `request.Answer`.
    """

    name = "answer"
    via: str
    upstream: str
    repeated: bool
    from_replica: bool
    age_s: float | None
    token: position.Position | None
    error: errors.FescueshuntError | None

    def describe(self) -> str:
        """Returns the outcome and the source of the answer."""
        outcome = request.Answer(self.request_id, error=self.error).outcome
        text = f"{outcome.value} by {self.upstream or '-'}"
        if self.via:
            text = f"{self.via}: {text}"
        if self.error is not None:
            return f"{text}; {self.error}"
        if self.repeated:
            text += "; the recorded answer of an earlier run"
        if self.from_replica:
            text += "; a replica"
        if self.age_s is not None:
            text += f"; at most {self.age_s:.3f} s old"
        if self.token is not None:
            text += f"; its log position is {self.token.index}"
        return text


def make_answer_step(
    at: float, via: str, answer: request.Answer
) -> RequestAnswered:
    """Returns the step for `answer`, without the answer's rows.

    Args:
      at: when the answer was sent or received; seconds, local clock.
      via: the value of `RequestAnswered.via`.
      answer: the answer.
    """
    return RequestAnswered(
        at,
        answer.request_id,
        via,
        answer.upstream,
        answer.repeated,
        answer.from_replica,
        answer.age_s,
        answer.token,
        answer.error,
    )
