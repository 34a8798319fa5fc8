"""The steps of a request: what was decided, and on what facts.

A step keeps values only and becomes text when it is asked for, as one is made
for each hop of each request.
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
    """One step of the request `request_id`, at a time of the local clock."""

    name: ClassVar[str]
    at: float
    request_id: bytes

    @abc.abstractmethod
    def facts(self) -> str:
        """Returns what was decided and why, for people."""


@dataclasses.dataclass(slots=True)
class Asked(Step):
    """A caller's request came in."""

    name = "request of a caller"
    kind: request.Kind
    service: str
    database: str
    caller: str
    timeout_s: float
    after: position.Position | None
    unsure: bool
    max_age_s: float | None

    def facts(self) -> str:
        """Returns what the caller asked for."""
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
class Forwarded(Step):
    """The request went to the home of the upstream that was chosen."""

    name = "forward"
    home: str
    upstream: str

    def facts(self) -> str:
        """Returns the choice."""
        return f"chose {self.upstream}, whose home is {self.home}"


@dataclasses.dataclass(slots=True)
class Arrived(Step):
    """Another proxy's request came in."""

    name = "request of a proxy"
    sender: str
    upstream: str
    remaining_s: float
    in_doubt: bool

    def facts(self) -> str:
        """Returns what the other proxy asked for."""
        return (
            f"from {self.sender} for {self.upstream}; "
            f"{self.remaining_s:.3f} s left; in doubt: {self.in_doubt}"
        )


@dataclasses.dataclass(slots=True)
class SentBack(Step):
    """A request that wasn't run went back; `peer` sent or received it."""

    name = "sent back"
    peer: str
    error: errors.FescueshuntError | None
    suggested: str
    primary: str
    in_doubt: bool

    def facts(self) -> str:
        """Returns why, and where to try next."""
        text = f"{self.peer}: not run here: {self.error or '-'}"
        if self.suggested:
            text += f"; try {self.suggested}"
        if self.primary:
            text += f"; primary {self.primary}"
        return f"{text}; in doubt: {self.in_doubt}"


@dataclasses.dataclass(slots=True)
class Run(Step):
    """A call went to an upstream."""

    name = "run"
    mode: str
    upstream: str
    primary: str
    term: int
    confirmed_at: float

    def facts(self) -> str:
        """Returns the call, and the group as it was seen then."""
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
class Replied(Step):
    """The reply to a call of an upstream."""

    name = "reply"
    upstream: str
    kind: str
    reason: str
    end: int

    def facts(self) -> str:
        """Returns the reply."""
        text = f"{self.upstream}: {self.kind.lower()}"
        if self.reason:
            text += f", {self.reason}"
        return f"{text}, log ends at {self.end}" if self.end else text


@dataclasses.dataclass(slots=True)
class Lost(Step):
    """The connection to the upstream ended with the call in flight."""

    name = "connection lost"
    upstream: str
    error: errors.FescueshuntError

    def facts(self) -> str:
        """Returns how it ended."""
        return f"{self.upstream}: {self.error}"


@dataclasses.dataclass(slots=True)
class Answered(Step):
    """An answer; `via` is the proxy that gave or gets it, "" for a caller."""

    name = "answer"
    via: str
    upstream: str
    repeated: bool
    from_replica: bool
    age_s: float | None
    token: position.Position | None
    error: errors.FescueshuntError | None

    def facts(self) -> str:
        """Returns the outcome and where it comes from."""
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


def answered(at: float, via: str, answer: request.Answer) -> Answered:
    """Returns the step of an answer, without its rows."""
    return Answered(
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
