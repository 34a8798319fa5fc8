"""Items of the front end that holds sessions: sources, effects, decisions."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, position, replica_sets, sessions

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fescueshunt import errors

# Sources: clients.


@dataclasses.dataclass(frozen=True, slots=True)
class SessionRequested(filters.Item):
    """Client connection `client` starts a session under the name `route`.

    `account` is the client account as it names itself.
    """

    client: int
    route: str
    account: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StatementReceived(filters.Item):
    """A statement of an open session; one is in flight at a time."""

    client: int
    statement: sessions.Statement


@dataclasses.dataclass(frozen=True, slots=True)
class SessionClosed(filters.Item):
    """The client ended its session, or its connection was lost."""

    client: int


# Sources: upstreams.


@dataclasses.dataclass(frozen=True, slots=True)
class LinkOpened(filters.Item):
    """The connection `link` to an upstream is open."""

    link: int


@dataclasses.dataclass(frozen=True, slots=True)
class LinkReplied(filters.Item):
    """The reply to the one call in flight on `link`."""

    link: int
    reply: sessions.UpstreamReply


@dataclasses.dataclass(frozen=True, slots=True)
class LinkFailed(filters.Item):
    """A connection to an upstream ended, or was never opened.

    `refusal` says why the upstream turned it away, if it said so.
    """

    link: int
    error: errors.FescueshuntError
    refusal: sessions.Failure | None = None


# Effects: clients.


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptSession(filters.Item):
    """Tells a client that its session is open."""

    client: int


@dataclasses.dataclass(frozen=True, slots=True)
class RejectSession(filters.Item):
    """Tells a client why its session does not open, and closes."""

    client: int
    failure: sessions.Failure
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendSessionAnswer(filters.Item):
    """Sends a client the answer to its one statement in flight."""

    client: int
    statement_id: str
    answer: sessions.SessionAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class CloseSession(filters.Item):
    """Closes a client's connection."""

    client: int


# Effects: upstreams.


@dataclasses.dataclass(frozen=True, slots=True)
class OpenLink(filters.Item):
    """Opens a connection to an upstream."""

    link: int
    entry: replica_sets.UpstreamEntry


@dataclasses.dataclass(frozen=True, slots=True)
class CallLink(filters.Item):
    """Sends a call on an open connection."""

    link: int
    call: sessions.UpstreamCall


@dataclasses.dataclass(frozen=True, slots=True)
class CloseLink(filters.Item):
    """Closes a connection to an upstream."""

    link: int


# Between pipes.


@dataclasses.dataclass(frozen=True, slots=True)
class CallUpstream(filters.Item):
    """Sends a call of our own to an upstream, on any of our connections.

    A `deadline` bounds the wait for a connection and for the reply.
    """

    upstream: str
    call: sessions.UpstreamCall
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamCallCompleted(filters.Item):
    """What became of an `CallUpstream`.

    Attributes:
      asked_at: when the call was sent.
      reply: the reply, or None.
      refused: whether the upstream is known not to be there any more.
      sent: False if no connection was free though the upstream is alive.
    """

    upstream: str
    call: sessions.UpstreamCall
    requested_at: float
    reply: sessions.UpstreamReply | None
    refused: bool = False
    sent: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamResponded(filters.Item):
    """An upstream answered a statement.

    Attributes:
      sent_at: when the statement was sent.
      applied: the log position that the upstream had applied, or None.
      wrote: whether it was a write or a commit.
    """

    upstream: str
    sent_at: float
    applied: position.Position | None
    wrote: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSuspected(filters.Item):
    """An upstream is slow to answer, or a connection to it was lost.

    `write_since` is when a write was sent that is still unanswered, or None.
    """

    upstream: str
    reason: str
    write_since: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmationRequested(filters.Item):
    """A statement needs a database's primary, and none is confirmed."""

    database: str


@dataclasses.dataclass(frozen=True, slots=True)
class LogDecision(filters.Item):
    """A decision, for the log.

    Attributes:
      event: what was decided.
      statement_id: the statement that it touches, "" for none.
      details: what decided it, with ages in seconds.
    """

    event: str
    statement_id: str
    details: Mapping[str, object]
