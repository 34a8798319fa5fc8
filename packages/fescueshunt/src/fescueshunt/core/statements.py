"""Operators' statements as data classes, and the answers to them."""

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
    """The table that a SHOW statement lists."""

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
    """A comparison operator; in a LIKE pattern, % matches any characters."""

    EQUAL = "="
    NOT_EQUAL = "!="
    LESS = "<"
    LESS_EQUAL = "<="
    GREATER = ">"
    GREATER_EQUAL = ">="
    LIKE = "like"


class Verb(enum.StrEnum):
    """The action of a `Change`."""

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
    """The kind of object that a `Change` applies to."""

    RANK = "rank"
    SERVICE = "service"
    GROUP = "group"
    FLOORS = "floors"
    DAY = "day"
    HOST = "host"
    UPSTREAM = "upstream"
    SETTINGS = "settings"


class Event(enum.StrEnum):
    """The kind of event that an EXPLAIN statement explains."""

    REQUEST = "request"
    PROMOTION = "promotion"


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """A WHERE condition, which compares the value of `column` with `value`."""

    column: str
    comparison: Comparison
    value: Value


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A sort key of ORDER BY."""

    column: str
    descending: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """A field of an entry in the settings document, and its new value."""

    name: str
    value: Value


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """Base class of the operators' statements."""


@dataclasses.dataclass(frozen=True, slots=True)
class Show(Statement):
    """Lists the rows of a table.

    Attributes:
      subject: the table to list.
      conditions: the conditions that every listed row satisfies.
      order: the sort keys, most significant first.
      limit: the maximum number of rows, or None for no limit.
    """

    subject: Subject
    conditions: tuple[Condition, ...] = ()
    order: tuple[Order, ...] = ()
    limit: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Change(Statement):
    """Changes the settings.

    Attributes:
      verb: the action.
      kind: the kind of object that the action applies to.
      name: the name of the entry; "" if there is only one entry of the kind.
      fields: the fields to set.
      floors: pairs of a rank's name and its minimum share of the slots.
      target: the revision whose content a roll-forward restores.
      dry_run: whether to report the changes without making them.
      if_revision: the revision that must be in force for the change to be
        made; None for any revision.
      author: the person who wants the change; "" for the requesting operator.
      reason: why the change is made.
      operation: the operation id, 16 random bytes; a retry of a change has the
        same id.
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
    """Requests an explanation of how an event proceeded.

    `name` is the id of a request, or the name of a promotion's database.
    """

    event: Event
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """A table of values with named columns."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Value, ...], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorAnswer:
    """The answer to one statement.

    Attributes:
      table: the requested rows, the differences that a change makes, or the
        problems of a change that is invalid.
      revision: for a change, the revision that contains it; 0 for a dry run.
      operation: the operation id of the change.
      conflict: the other operator's change, with a `RevisionConflictError`.
      error: the error, or None if the statement succeeded.
      silent: the names of the proxies that were asked and did not answer in
        time.
      not_asked: the number of proxies that were not asked because of the limit
        on proxies per statement.
    """

    table: Table | None = None
    revision: int = 0
    operation: bytes = b""
    conflict: document.Revision | None = None
    error: errors.FescueshuntError | None = None
    silent: tuple[str, ...] = ()
    not_asked: int = 0
