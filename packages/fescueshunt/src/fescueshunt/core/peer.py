"""Messages between proxies.

Every message is one-way; an answer repeats the `seq` of the message that it
answers.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import position

if TYPE_CHECKING:
    from fescueshunt import errors
    from fescueshunt.core import request


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """Base class of the messages between proxies."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamBrief:
    """The state of an upstream as its home last saw it.

    Attributes:
      name: the name of the upstream.
      last: the position of the last entry in the upstream's log.
      reachable: whether the upstream answers the home.
      leaving: whether the upstream takes no new work.
    """

    name: str
    last: position.Position
    reachable: bool
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class GroupBrief:
    """A hint about the state of a database's group.

    A brief may be out of date, so correctness never depends on it.

    Attributes:
      database: the name of the database.
      term: the highest term that the sender knows to be served.
      primary: the name of the primary of `term`, "" if unknown.
      upstreams: the states of the upstreams that the sender knows.
    """

    database: str
    term: position.Term
    primary: str
    upstreams: tuple[UpstreamBrief, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedRequest(PeerMessage):
    """A request that is forwarded to the home of `upstream`.

    Attributes:
      seq: a number that is unique until the sender restarts.
      upstream: the name of the upstream that should run the request.
      request: the caller's request.
      remaining_s: the time until the request's deadline, in seconds.
      in_doubt: whether an earlier attempt may have run.
      span: the id of the sender's trace span, 8 bytes, or empty.
    """

    seq: int
    upstream: str
    request: request.Request
    remaining_s: float
    in_doubt: bool = False
    span: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedAnswer(PeerMessage):
    """The answer to a forwarded request, with a hint about the group."""

    seq: int
    answer: request.Answer
    brief: GroupBrief | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Redirected(PeerMessage):
    """The answer of a home that did not complete a forwarded request.

    Attributes:
      seq: the number of the forwarded request.
      request_id: the id of the request, so that a late message is not matched
        with another request.
      brief: a hint about the group, for choosing the next upstream.
      suggested: the upstream to try next, "" if none is known.
      in_doubt: whether this attempt, or an earlier one, may have run.
      error: the reason, reported to the caller if no other attempt succeeds.
    """

    seq: int
    request_id: bytes
    brief: GroupBrief | None = None
    suggested: str = ""
    in_doubt: bool = False
    error: errors.FescueshuntError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonedTransaction(PeerMessage):
    """The sender's caller abandoned a transaction, which is to be rolled back.

    Attributes:
      transaction: the request id of the transaction's BEGIN.
    """

    transaction: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class FailingUpstream:
    """An upstream whose calls have failed for `for_s` seconds."""

    name: str
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Witnessed(PeerMessage):
    """A watcher's report of failures in a database's group.

    Each report replaces the sender's previous one; an empty report withdraws
    it.

    Attributes:
      database: the name of the database.
      term: the highest term that the sender knows to be served.
      failing: the upstreams that do not answer the sender.
      pending: the highest term above `term` that an upstream has promised,
        NO_TERM if there is none.
      pending_for_s: the time since the sender first saw `pending`, in seconds.
    """

    database: str
    term: position.Term
    failing: tuple[FailingUpstream, ...] = ()
    pending: position.Term = position.NO_TERM
    pending_for_s: float = 0.0

    @property
    def is_empty(self) -> bool:
        """Whether the report contains no failure."""
        return not self.failing and self.pending == position.NO_TERM
