"""Sessions: the statements of clients, the calls to upstreams, the replies.

A session is one client connection. Its values and its prepared statements hold
until it ends. Nothing here knows how a message is encoded.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fescueshunt.core import position


class Verb(enum.Enum):
    """What a client's statement asks for."""

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
    """Why a statement has no success.

    The first six promise that nothing of the client's attempt is kept.
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
    """The state of a session: idle, in a transaction, or in a failed one."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """A client's statement.

    Attributes:
      statement_id: the client's id, sent on unchanged; "-" for our own.
      verb: what it asks for.
      text: the statement as the client wrote it, sent on unchanged.
      name: of the value or the prepared statement.
      argument: the rest: the value set, or the arguments of an execution.
      writes: whether a prepared statement writes.
      shape: the shape of a prepared statement.
      read_only: whether a transaction promises not to write.
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
    """A prepared statement: its kind and its shape."""

    writes: bool
    shape: str


class UpstreamCall:
    """A call on an upstream connection; one is in flight at a time."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunStatement(UpstreamCall):
    """Runs a client's statement. `min_position`: the log position it needs."""

    statement: Statement
    min_position: position.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RunPrepared(UpstreamCall):
    """Runs a prepared statement under the name it has at the upstream."""

    statement: Statement
    name: str
    min_position: position.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Begin(UpstreamCall):
    """Sends on a client's beginning of a transaction."""

    statement: Statement
    min_position: position.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback(UpstreamCall):
    """Rolls the open transaction back; None: of our own accord."""

    statement: Statement | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SetValue(UpstreamCall):
    """Sets a value of the connection."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare(UpstreamCall):
    """Prepares a statement under `name`."""

    name: str
    prepared: Prepared


@dataclasses.dataclass(frozen=True, slots=True)
class Reset(UpstreamCall):
    """Clears the values and prepared statements of the connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class GetStatus(UpstreamCall):
    """Asks for the upstream's place in its replica set."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pause(UpstreamCall):
    """Stops a replica from receiving; `term` is above every known one."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Resume(UpstreamCall):
    """Lets a paused replica receive again."""


@dataclasses.dataclass(frozen=True, slots=True)
class StepDown(UpstreamCall):
    """Makes a primary of a lower term a replica."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReply:
    """The whole answer of an upstream to one call.

    Attributes:
      rows: the rows, as the upstream wrote them.
      receipt: the upstream's proof that the call ran; "" for a failure.
      failure: why it has no success, or None.
      detail: the upstream's text about the failure.
      state: the state of the connection after the call.
      applied: the log position that the upstream had applied, or None.
      status: the upstream's place in its replica set, if the call tells it.
    """

    rows: tuple[str, ...]
    receipt: str
    failure: Failure | None
    detail: str
    state: TransactionState
    applied: position.Position | None
    status: ReplicaStatus | None = None


class ReplicaRole(enum.Enum):
    """What an upstream takes itself for."""

    PRIMARY = "primary"
    REPLICA = "replica"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """An upstream's own word on its place in its replica set.

    Attributes:
      role: what it takes itself for.
      term: the term that it serves.
      received: the last log position that it received.
      held_term: the term of the newest `Pause` in force here, 0 for none.
      lag_s: how far it applies behind what it received; seconds.
      busy: slots in use.
      connections: open connections, of all callers.
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
    """What a client gets for one statement."""

    rows: tuple[str, ...] = ()
    receipt: str = ""
    failure: Failure | None = None
    detail: str = ""
    state: TransactionState = TransactionState.IDLE


@dataclasses.dataclass(frozen=True, slots=True)
class SessionSettings:
    """What a session has set: values by name, prepared statements by name."""

    values: Mapping[str, str]
    prepared: Mapping[str, Prepared]


def prepared_name(prepared: Prepared) -> str:
    """Returns the name that a statement of this kind and shape has upstream."""
    return f"{'w' if prepared.writes else 'r'}.{prepared.shape}"
