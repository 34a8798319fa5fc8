"""Sessions: client statements, calls to upstreams, replies and answers.

A session is one client connection. The values that a client sets and its
prepared statements last until the session ends. The types here are independent
of the encoding of messages.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fescueshunt.core import position


class Verb(enum.Enum):
    """The operation that a client's statement requests."""

    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET_VALUE = "set_value"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"
    INVALID = "invalid"


class Failure(enum.Enum):
    """The reason why a statement failed.

    The first six guarantee that the attempt had no lasting effect.
    """

    BUSY = "busy"
    ABORTED = "aborted"
    LAGGING = "lagging"
    READ_ONLY = "read_only"
    WRONG_UPSTREAM = "wrong_upstream"
    CONNECTION_LIMIT = "connection_limit"
    IN_DOUBT = "in_doubt"
    TIMEOUT = "timeout"
    FAILED = "failed"
    NO_STATEMENT = "no_statement"
    NO_DATABASE = "no_database"
    INVALID = "invalid"


NOT_RUN = frozenset(
    {
        Failure.BUSY,
        Failure.LAGGING,
        Failure.READ_ONLY,
        Failure.NO_STATEMENT,
        Failure.WRONG_UPSTREAM,
        Failure.CONNECTION_LIMIT,
    }
)


class TransactionState(enum.Enum):
    """The transaction state of a session.

    IDLE: no transaction is open. OPEN: a transaction is open. FAILED: the open
    transaction has failed.
    """

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """A client's statement.

    Attributes:
      statement_id: the id from the client, forwarded unchanged; "-" for a
        statement of the proxy itself.
      verb: the requested operation.
      text: the statement as the client wrote it, forwarded unchanged.
      name: the name of the value or of the prepared statement.
      argument: the value to set, or the arguments of a prepared statement.
      writes: whether a prepared statement writes.
      shape: the shape of a prepared statement, as the client wrote it.
      read_only: whether the client declared the transaction read-only.
    """

    statement_id: str
    verb: Verb
    text: str
    name: str = ""
    argument: str = ""
    writes: bool = False
    shape: str = ""
    read_only: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Prepared:
    """A prepared statement.

    Attributes:
      writes: whether the statement writes.
      shape: the shape of the statement.
    """

    writes: bool
    shape: str


class UpstreamCall:
    """A call on an upstream connection, which has at most one in flight."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunStatement(UpstreamCall):
    """Runs a client's statement.

    Attributes:
      min_position: the log position that the upstream must have applied, or
        None.
    """

    statement: Statement
    min_position: position.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RunPrepared(UpstreamCall):
    """Runs a prepared statement.

    Attributes:
      name: the name of the prepared statement at the upstream.
      min_position: the log position that the upstream must have applied, or
        None.
    """

    statement: Statement
    name: str
    min_position: position.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Begin(UpstreamCall):
    """Begins a transaction for a client.

    Attributes:
      min_position: the log position that the upstream must have applied, or
        None.
    """

    statement: Statement
    min_position: position.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback(UpstreamCall):
    """Rolls the open transaction back.

    Attributes:
      statement: the client's statement, or None if the proxy itself rolls back.
    """

    statement: Statement | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SetValue(UpstreamCall):
    """Sets a named value on the connection."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare(UpstreamCall):
    """Prepares a statement on the connection under `name`."""

    name: str
    prepared: Prepared


@dataclasses.dataclass(frozen=True, slots=True)
class Reset(UpstreamCall):
    """Clears the values and prepared statements of the connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class GetStatus(UpstreamCall):
    """Requests the replication status of the upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pause(UpstreamCall):
    """Pauses replication at a replica.

    Attributes:
      term: a term above every known one.
    """

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Resume(UpstreamCall):
    """Resumes replication at a paused replica."""


@dataclasses.dataclass(frozen=True, slots=True)
class StepDown(UpstreamCall):
    """Demotes a primary of a term below `term` to a replica."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReply:
    """The complete reply of an upstream to one call.

    Attributes:
      rows: the rows, as the upstream encoded them.
      receipt: the upstream's proof that the call ran; "" after a failure.
      failure: the reason of the failure, or None.
      detail: the upstream's description of the failure.
      state: the transaction state of the connection after the call.
      applied: the log position that the upstream had applied, or None.
      status: the replication status of the upstream, or None if the reply does
        not contain it.
    """

    rows: tuple[str, ...]
    receipt: str
    failure: Failure | None
    detail: str
    state: TransactionState
    applied: position.Position | None
    status: ReplicaStatus | None = None


class ReplicaRole(enum.Enum):
    """The role that an upstream reports for itself."""

    PRIMARY = "primary"
    REPLICA = "replica"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """The replication status that an upstream reports.

    Attributes:
      role: the role that the upstream reports for itself.
      term: the term that the upstream serves in.
      received: the last log position that the upstream received.
      paused_term: the term of the newest `Pause` in force at the upstream; 0 if
        replication is not paused.
      lag_s: the delay between receiving and applying, in seconds.
      busy: the number of slots in use.
      connections: the number of open connections from all clients.
    """

    role: ReplicaRole
    term: int
    received: position.Position
    paused_term: int
    lag_s: float
    busy: int
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class SessionAnswer:
    """The answer to a client's statement."""

    rows: tuple[str, ...] = ()
    receipt: str = ""
    failure: Failure | None = None
    detail: str = ""
    state: TransactionState = TransactionState.IDLE


@dataclasses.dataclass(frozen=True, slots=True)
class SessionSettings:
    """The values and the prepared statements of a session, by name."""

    values: Mapping[str, str]
    prepared: Mapping[str, Prepared]


def prepared_name(prepared: Prepared) -> str:
    """Returns the name that `prepared` has at upstreams."""
    return f"{'w' if prepared.writes else 'r'}.{prepared.shape}"
