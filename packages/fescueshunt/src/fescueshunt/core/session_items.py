"""Items of the session front end: events, effects and logged decisions."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import (
    accounts,
    failures,
    filters,
    position,
    replica_sets,
    sessions,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fescueshunt import errors
    from fescueshunt.core import client_limits, connection_settings, loans

# Events from clients.


@dataclasses.dataclass(frozen=True, slots=True)
class ClientConnected(filters.Item):
    """A client opened a connection; it has not requested a session yet."""

    client: int


@dataclasses.dataclass(frozen=True, slots=True)
class SessionRequested(filters.Item):
    """A client requested a session.

    Attributes:
      client: the id of the client connection.
      route: the name of the route that the client requested.
      key: the digest of the key that the client states.
    """

    client: int
    route: str
    key: accounts.KeyDigest = accounts.NO_KEY


@dataclasses.dataclass(frozen=True, slots=True)
class StatementReceived(filters.Item):
    """A client sent a statement."""

    client: int
    statement: sessions.Statement


@dataclasses.dataclass(frozen=True, slots=True)
class SessionClosed(filters.Item):
    """A client ended its session; it sends no more statements."""

    client: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMalformed(filters.Item):
    """A client sent a request that can't be decoded.

    Attributes:
      detail: what is wrong with the request.
    """

    client: int
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClientDisconnected(filters.Item):
    """A client's connection is gone; nothing more can be sent on it."""

    client: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClientDropped(filters.Item):
    """This host ends a client's connection to protect itself.

    Attributes:
      address: the client's address.
      held_bytes: the memory that all clients held then.
    """

    client: int
    reason: client_limits.DropReason
    address: str
    held_bytes: int


# Events from upstreams.


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionOpened(filters.Item):
    """A connection to an upstream was opened, or another host has lent it.

    Attributes:
      connection_id: the id of the upstream connection on this host.
      settings: what the connection holds; None for nothing, as it is new.
      expected_s: how long a statement takes at present, with its wait at the
        lender; in seconds.
    """

    connection_id: int
    settings: connection_settings.ConnectionSettings | None = None
    expected_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallReplied(filters.Item):
    """An upstream replied to the only call in flight on a connection."""

    connection_id: int
    reply: sessions.UpstreamReply


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionFailed(filters.Item):
    """A connection to an upstream was lost or could not be opened.

    Attributes:
      refusal: the reason that the upstream gave for refusing the connection, or
        None.
    """

    connection_id: int
    error: errors.FescueshuntError
    refusal: failures.Failure | None = None


# Effects on clients.


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptSession(filters.Item):
    """Notifies a client that its session is open."""

    client: int


@dataclasses.dataclass(frozen=True, slots=True)
class RejectSession(filters.Item):
    """Notifies a client why its session was refused or ended; disconnects."""

    client: int
    failure: failures.Failure
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendSessionAnswer(filters.Item):
    """Sends a client the answer to its statement in flight."""

    client: int
    statement_id: str
    answer: sessions.SessionAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class CloseSession(filters.Item):
    """Closes a client's connection once all that has arrived is answered."""

    client: int


@dataclasses.dataclass(frozen=True, slots=True)
class PauseClient(filters.Item):
    """Stops reading from a client that sends faster than it is answered."""

    client: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeClient(filters.Item):
    """Reads from a paused client again."""

    client: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopListening(filters.Item):
    """Stops accepting client connections; those accepted stay open."""


# Effects on upstreams.


@dataclasses.dataclass(frozen=True, slots=True)
class OpenConnection(filters.Item):
    """Opens a connection to an upstream.

    Attributes:
      account: the client account whose statements it runs; "" for those that
        belong to no account.
    """

    connection_id: int
    entry: replica_sets.UpstreamEntry
    account: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class BorrowConnection(filters.Item):
    """Borrows a connection to an upstream from another host.

    Attributes:
      lender: the host that lends it.
      address: the lender's address for other hosts, as `IP:PORT`.
      request: what the connection is needed for; its number is that of the
        connection.
    """

    connection_id: int
    lender: str
    address: str
    request: loans.LoanRequest


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnConnection(filters.Item):
    """Gives a borrowed connection back, on which nothing is open."""

    connection_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendCall(filters.Item):
    """Sends a call on an open connection to an upstream."""

    connection_id: int
    call: sessions.UpstreamCall


@dataclasses.dataclass(frozen=True, slots=True)
class CloseConnection(filters.Item):
    """Closes a connection to an upstream."""

    connection_id: int


# Items between pipes.


@dataclasses.dataclass(frozen=True, slots=True)
class CallUpstream(filters.Item):
    """A control request: a call to an upstream on any connection of this host.

    Attributes:
      deadline: the time limit for both getting a connection and receiving the
        reply.
    """

    upstream: str
    call: sessions.UpstreamCall
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamCallCompleted(filters.Item):
    """The outcome of a `CallUpstream`.

    Attributes:
      requested_at: when the call was sent.
      reply: the reply, or None if there was none.
      refused: whether the connection was refused because another upstream
        answered at the address. This one is gone, and the other one has its
        log.
      sent: False if no connection was free although the upstream is alive.
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
      wrote: whether the statement was a write or a commit.
    """

    upstream: str
    sent_at: float
    applied: position.Position | None
    wrote: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSuspected(filters.Item):
    """An upstream is suspected of having failed.

    It answers slowly, a connection to it was lost, or its entry was removed.

    Attributes:
      reason: the reason for the suspicion.
      write_since: when the write that is still unanswered was sent, or None.
    """

    upstream: str
    reason: str
    write_since: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class GreetLender(filters.Item):
    """Opens the link to a lender before a statement needs it.

    Attributes:
      address: the lender's address for other hosts, as `IP:PORT`.
    """

    lender: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class AskPosition(filters.Item):
    """Asks the lender of a primary for the position of its log.

    Attributes:
      address: the lender's address for other hosts, as `IP:PORT`.
    """

    database: str
    lender: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class PositionLearned(filters.Item):
    """Another host has told a log position.

    Attributes:
      covered_at: the position covers all commits that were acknowledged by
        then; local clock, seconds.
    """

    database: str
    covered_at: float
    end: position.Position


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmationRequested(filters.Item):
    """A statement needs the primary of a database, and none is confirmed."""

    database: str


@dataclasses.dataclass(frozen=True, slots=True)
class LogDecision(filters.Item):
    """Logs a decision.

    Attributes:
      event: the name of the log event.
      statement_id: the id of the statement that the decision concerns, or "".
      details: the values on which the decision was based; ages are in seconds.
    """

    event: str
    statement_id: str
    details: Mapping[str, object]
