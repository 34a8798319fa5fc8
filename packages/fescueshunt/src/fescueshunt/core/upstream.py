"""What the platform's database groups offer: calls, replies and errors.

The assumptions behind these messages stand in docs/design/platform.md.
"""

from __future__ import annotations

import dataclasses
import enum

from fescueshunt.core import position, request


class Mode(enum.StrEnum):
    """How statements relate to a transaction of the connection.

    READ runs on a snapshot, outside of a transaction. BEGIN opens a write
    transaction and runs; STEP runs within it; COMMIT runs and then commits;
    ROLLBACK rolls back.
    """

    READ = "read"
    BEGIN = "begin"
    STEP = "step"
    COMMIT = "commit"
    ROLLBACK = "rollback"


class Reason(enum.StrEnum):
    """Why an upstream rejected a call; the transaction is rolled back."""

    NOT_PRIMARY = "not_primary"
    WRONG_TERM = "wrong_term"
    CONSTRAINT = "constraint"
    STATEMENT = "statement"
    NO_TRANSACTION = "no_transaction"
    TOO_MANY_CONNECTIONS = "too_many_connections"


class Role(enum.StrEnum):
    """What an upstream does in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"
    BLANK = "blank"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Base of the calls to an upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Base of the replies of an upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hello(Call):
    """The first call of a connection: who calls, and from which zone."""

    host: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome(Reply):
    """The connection is open."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Execute(Call):
    """Runs statements; a write only as the primary of exactly `term`."""

    mode: Mode
    term: position.Term
    statements: tuple[request.Statement, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Executed(Reply):
    """The results, and the history at the snapshot or commit they are of.

    `promised` is the highest term that the upstream has accepted.
    """

    results: tuple[request.ResultSet, ...]
    history: position.History
    promised: position.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected(Reply):
    """The call had no effect, and an open transaction is rolled back.

    `statement` is the index of the offending statement, or -1.
    """

    reason: Reason
    detail: str = ""
    statement: int = -1
    promised: position.Term = position.NO_TERM


@dataclasses.dataclass(frozen=True, slots=True)
class ReadStatus(Call):
    """Asks for the status once it differs from `seen`, or after `wait_s`.

    New entries of the same term are told no sooner than after `hold_s`, so
    that one answer tells of many; a new promise or term is told at once.
    """

    seen: position.History = position.History()
    promised: position.Term = position.NO_TERM
    wait_s: float = 0.0
    hold_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Status(Reply):
    """What an upstream says of itself.

    `term` is the term that it serves: as primary, or as a replica of it.
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
    """Asks to promise `term`: to serve no lower one from now on."""

    term: position.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced(Reply):
    """Whether the promise was given; `history` counts if it was."""

    accepted: bool
    promised: position.Term
    history: position.History


@dataclasses.dataclass(frozen=True, slots=True)
class Promote(Call):
    """Asks to become primary of `term`, which was promised to it."""

    term: position.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Promoted(Reply):
    """Whether the upstream is now primary; its history with the new branch."""

    accepted: bool
    promised: position.Term
    history: position.History


@dataclasses.dataclass(frozen=True, slots=True)
class Follow(Call):
    """Asks to replicate from `primary` at `address` in `term`.

    A divergent tail is cut off. Refused if a higher term was promised.
    """

    term: position.Term
    primary: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Followed(Reply):
    """Whether the upstream now follows."""

    accepted: bool
    promised: position.Term
