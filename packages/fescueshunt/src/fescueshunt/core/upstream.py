"""Calls to the upstreams of the platform's database groups, and the replies.

docs/design/platform.md states the assumptions behind these messages.
"""

from __future__ import annotations

import dataclasses
import enum

from fescueshunt.core import position, request


class Mode(enum.StrEnum):
    """How an `Execute` call relates to the connection's transaction.

    READ runs the statements on a snapshot, outside a transaction. BEGIN opens a
    write transaction and runs the statements in it. STEP runs the statements in
    the open transaction. COMMIT runs the statements and then commits. ROLLBACK
    rolls the transaction back.
    """

    READ = "read"
    BEGIN = "begin"
    STEP = "step"
    COMMIT = "commit"
    ROLLBACK = "rollback"


class Reason(enum.StrEnum):
    """The reason that an upstream gives for rejecting a call."""

    NOT_PRIMARY = "not_primary"
    WRONG_TERM = "wrong_term"
    CONSTRAINT = "constraint"
    STATEMENT = "statement"
    NO_TRANSACTION = "no_transaction"
    TOO_MANY_CONNECTIONS = "too_many_connections"


class Role(enum.StrEnum):
    """The role of an upstream in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"
    BLANK = "blank"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Base class of the calls to an upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Base class of the replies of an upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hello(Call):
    """Names the calling host and its zone; the first call of a connection."""

    host: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome(Reply):
    """The reply to `Hello`; `name` is the name of the upstream."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Execute(Call):
    """Runs statements.

    The upstream runs a write only if it is the primary of exactly `term`.
    """

    mode: Mode
    term: position.Term
    statements: tuple[request.Statement, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Executed(Reply):
    """The results of an `Execute` call.

    Attributes:
      results: one result set for each statement.
      history: the history of the upstream's log at the snapshot or the commit.
      promised: the highest term that the upstream has promised.
    """

    results: tuple[request.ResultSet, ...]
    history: position.History
    promised: position.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected(Reply):
    """The upstream rejected a call and rolled back any open transaction.

    Attributes:
      reason: the reason for the rejection.
      detail: a description of the error for people.
      statement: the index of the statement that failed, or -1 if none did.
      promised: the highest term that the upstream has promised.
    """

    reason: Reason
    detail: str = ""
    statement: int = -1
    promised: position.Term = position.NO_TERM


@dataclasses.dataclass(frozen=True, slots=True)
class ReadStatus(Call):
    """Requests the status when it differs from the last one, or after a wait.

    Attributes:
      seen: the history in the last status that the caller has received.
      promised: the promised term in that status.
      wait_s: the maximum time to wait for a change, in seconds.
      hold_s: the minimum time before the upstream reports new log entries of
        the same term, so that one reply covers many entries; seconds. It
        reports a new promise or term at once.
    """

    seen: position.History = position.History()
    promised: position.Term = position.NO_TERM
    wait_s: float = 0.0
    hold_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Status(Reply):
    """The status that an upstream reports.

    Attributes:
      name: the name of the upstream.
      role: its role in the group.
      term: the term that it serves as the primary or as a replica.
      promised: the highest term that it has promised.
      history: the history of its log.
      primary: the primary that it follows, as a name or an address.
      connections: the number of open connections.
      busy_slots: the number of slots in use.
    """

    name: str
    role: Role
    term: position.Term
    promised: position.Term
    history: position.History
    primary: str = ""
    connections: int = 0
    busy_slots: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Fence(Call):
    """Requests the promise to serve no term below `term` from now on."""

    term: position.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced(Reply):
    """The reply to `Fence`.

    Attributes:
      accepted: whether the upstream gave the promise.
      promised: the highest term that the upstream has promised.
      history: the history of its log; valid only if `accepted`.
    """

    accepted: bool
    promised: position.Term
    history: position.History


@dataclasses.dataclass(frozen=True, slots=True)
class Promote(Call):
    """Makes the upstream the primary of `term`, which it has promised."""

    term: position.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Promoted(Reply):
    """The reply to `Promote`.

    Attributes:
      accepted: whether the upstream is now the primary.
      promised: the highest term that the upstream has promised.
      history: the history of its log, including the branch of the new term.
    """

    accepted: bool
    promised: position.Term
    history: position.History


@dataclasses.dataclass(frozen=True, slots=True)
class Follow(Call):
    """Makes the upstream replicate from `primary` at `address` in `term`.

    The upstream truncates a divergent tail of its log. It refuses the call if
    it has promised a higher term.
    """

    term: position.Term
    primary: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Followed(Reply):
    """The reply to `Follow`; `accepted` if the upstream now replicates."""

    accepted: bool
    promised: position.Term
