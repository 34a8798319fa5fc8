"""Messages between proxies. Each is one way; answers carry the same `seq`."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import position

if TYPE_CHECKING:
    from fescueshunt import errors
    from fescueshunt.core import request


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """Base of the messages between proxies."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamBrief:
    """What a home last saw of one upstream."""

    name: str
    last: position.Position
    reachable: bool
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class GroupBrief:
    """A hint about a database's group. Correctness never rests on it."""

    database: str
    term: position.Term
    primary: str
    upstreams: tuple[UpstreamBrief, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedRequest(PeerMessage):
    """A request on its way to the home of `upstream`.

    Attributes:
      seq: unique for the sender's start.
      remaining_s: seconds until the caller gives up.
      in_doubt: whether an earlier attempt may have run.
      span: the id of the sender's span, 8 bytes or empty.
    """

    seq: int
    upstream: str
    request: request.Request
    remaining_s: float
    in_doubt: bool = False
    span: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedAnswer(PeerMessage):
    """The answer to a forwarded request."""

    seq: int
    answer: request.Answer
    brief: GroupBrief | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Redirected(PeerMessage):
    """The receiver did not run the request; `brief` says where to go.

    Attributes:
      request_id: of the request, so that a late message meets no other one.
      suggested: the upstream to try next, "" where none is known.
      in_doubt: whether this attempt, or one before it, may have run.
      error: why; what the caller is told if no other attempt succeeds.
    """

    seq: int
    request_id: bytes
    brief: GroupBrief | None = None
    suggested: str = ""
    in_doubt: bool = False
    error: errors.FescueshuntError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonedTransaction(PeerMessage):
    """The sender's caller is done with a transaction; it rolls back.

    Attributes:
      transaction: the request id of its BEGIN.
    """

    transaction: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class FailingUpstream:
    """An upstream whose calls have failed for `for_s` seconds."""

    name: str
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Witnessed(PeerMessage):
    """What a watcher of a database finds wrong with its group.

    It replaces the sender's report before; one without content takes it back.

    Attributes:
      term: the highest term that the sender knows to serve.
      failing: the upstreams that don't answer the sender.
      pending: the highest promise that is above `term`, NO_TERM for none.
      pending_for_s: seconds since the sender first saw it.
    """

    database: str
    term: position.Term
    failing: tuple[FailingUpstream, ...] = ()
    pending: position.Term = position.NO_TERM
    pending_for_s: float = 0.0

    @property
    def is_empty(self) -> bool:
        """Tells whether the sender finds nothing wrong."""
        return not self.failing and self.pending == position.NO_TERM
