"""What operators ask for: statements as data, and the answers to them."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fescueshunt import errors
    from fescueshunt.core import document

Value = None | bool | int | float | str
OPERATION_BYTES = 16


class Subject(enum.StrEnum):
    """What SHOW lists."""

    SETTINGS = "settings"
    SERVICES = "services"
    RANKS = "ranks"
    GROUPS = "groups"
    DATABASES = "databases"
    UPSTREAMS = "upstreams"
    CALENDAR = "calendar"
    HOMES = "homes"
    MEMBERS = "members"
    SESSIONS = "sessions"
    REFUSALS = "refusals"
    PROMOTIONS = "promotions"
    HISTORY = "history"
    PROPAGATION = "propagation"


class Comparison(enum.StrEnum):
    """How a condition compares; LIKE takes % for any characters."""

    EQUAL = "="
    NOT_EQUAL = "!="
    LESS = "<"
    LESS_EQUAL = "<="
    GREATER = ">"
    GREATER_EQUAL = ">="
    LIKE = "like"


class Verb(enum.StrEnum):
    """What a change does."""

    CREATE = "create"
    SET = "set"
    DROP = "drop"
    DECLARE = "declare"
    CONFIRM = "confirm"
    MOVE = "move"
    WITHDRAW = "withdraw"
    DRAIN = "drain"
    UNDRAIN = "undrain"
    ROLL_FORWARD = "roll forward"


class Kind(enum.StrEnum):
    """What a change works on."""

    RANK = "rank"
    SERVICE = "service"
    GROUP = "group"
    FLOORS = "floors"
    DAY = "day"
    HOST = "host"
    UPSTREAM = "upstream"
    SETTINGS = "settings"


class Event(enum.StrEnum):
    """What EXPLAIN explains."""

    REQUEST = "request"
    PROMOTION = "promotion"


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """A row is listed if its `column` compares so with `value`."""

    column: str
    comparison: Comparison
    value: Value


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Rows are listed in the order of `column`."""

    column: str
    descending: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """A field of a declared entry and its new value."""

    name: str
    value: Value


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """Base of the statements."""


@dataclasses.dataclass(frozen=True, slots=True)
class Show(Statement):
    """Lists what is in force. `limit` is a number of rows, None for all."""

    subject: Subject
    conditions: tuple[Condition, ...] = ()
    order: tuple[Order, ...] = ()
    limit: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Change(Statement):
    """Changes the settings.

    Attributes:
      verb: what it does.
      kind: what it works on.
      name: the entry; "" where the kind has only one.
      fields: the fields to set.
      floors: shares of slots, by rank.
      target: the revision whose content a roll-forward brings back.
      dry_run: only says what would change.
      if_revision: the revision that must be in force; None for any.
      author: who wants it; "" for the operator who asks.
      reason: why.
      operation: 16 random bytes; a repeat of a change carries the same.
    """

    verb: Verb
    kind: Kind
    name: str = ""
    fields: tuple[Field, ...] = ()
    floors: tuple[tuple[str, float], ...] = ()
    target: int = 0
    dry_run: bool = False
    if_revision: int | None = None
    author: str = ""
    reason: str = ""
    operation: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Explain(Statement):
    """Asks how an event came about. `name` is a request id or a database."""

    event: Event
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Rows of values under named columns."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Value, ...], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorAnswer:
    """The answer to one statement.

    Attributes:
      table: what was asked for, what a change changes, or what is wrong.
      revision: for a change, the revision that has it; 0 for a dry run.
      operation: the change's operation.
      conflict: the other operator's change, for a RevisionConflictError.
      error: the typed failure, or None.
      silent: proxies that were asked and didn't answer in time.
      not_asked: the number of proxies that weren't asked, as there are many.
    """

    table: Table | None = None
    revision: int = 0
    operation: bytes = b""
    conflict: document.Revision | None = None
    error: errors.FescueshuntError | None = None
    silent: tuple[str, ...] = ()
    not_asked: int = 0
