"""Sessions: client statements, calls to upstreams, replies and answers.

A session is one client connection. The values that a client sets and its
prepared statements last until the session ends. The types here are independent
of the encoding of messages.
"""

from __future__ import annotations

import base64
import dataclasses
import enum
import hashlib
from typing import TYPE_CHECKING

from fescueshunt.core import failures, texts

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fescueshunt.core import position

# Long enough that nobody can find two statements with one name.
NAME_DIGEST_BYTES = 16


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
      fits_min_position: whether the call that runs the statement is short
        enough to contain a minimum position as well.
    """

    statement_id: texts.Word
    verb: Verb
    text: texts.Line
    name: str = ""
    argument: texts.Line = texts.EMPTY
    writes: bool = False
    shape: texts.Line = texts.EMPTY
    read_only: bool = False
    fits_min_position: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Prepared:
    """A prepared statement.

    Attributes:
      writes: whether the statement writes.
      shape: the shape of the statement.
      name: the name that every host gives the statement at upstreams. It
        depends on nothing else, so that sessions share the statements that are
        prepared on a connection, and it contains no text of a client.
    """

    writes: bool
    shape: texts.Line
    name: texts.Word = dataclasses.field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Derives the name."""
        object.__setattr__(self, "name", _upstream_name(self))


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
    name: texts.Word
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

    name: texts.Word
    value: texts.Line


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare(UpstreamCall):
    """Prepares a statement on the connection under `name`."""

    name: texts.Word
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
    failure: failures.Failure | None
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
    failure: failures.Failure | None = None
    detail: str = ""
    state: TransactionState = TransactionState.IDLE


@dataclasses.dataclass(frozen=True, slots=True)
class SessionSettings:
    """The values and the prepared statements of a session, by name."""

    values: Mapping[str, str]
    prepared: Mapping[str, Prepared]


def _upstream_name(prepared: Prepared) -> texts.Word:
    kind = "w" if prepared.writes else "r"
    data = f"{kind} {prepared.shape}".encode(errors="surrogateescape")
    digest = hashlib.blake2b(data, digest_size=NAME_DIGEST_BYTES).digest()
    encoded = base64.urlsafe_b64encode(digest).decode().rstrip("=")
    return texts.Word(f"{kind}{encoded}")


# The number of characters in the name of a prepared statement at upstreams.
PREPARED_NAME_CHARS = len(Prepared(False, texts.EMPTY).name)
