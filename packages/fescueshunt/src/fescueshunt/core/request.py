"""Requests from callers, and the answers to them."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from fescueshunt import errors

if TYPE_CHECKING:
    from fescueshunt.core import position

Value = None | bool | int | float | str | bytes


class Kind(enum.StrEnum):
    """The kind of a request."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    STEP = "step"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    OUTCOME = "outcome"


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """An SQL statement with its positional parameters."""

    sql: str
    params: tuple[Value, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request from a caller.

    Attributes:
      request_id: 16 bytes. The first 6 are the caller's wall clock in
        milliseconds, big endian; the rest are random. A retry of a request
        has the same id.
      service: the name of the declared service, which determines the rank,
        whether writes are permitted, and the durability.
      database: the name of the database that the statements run on.
      kind: the kind of the request.
      statements: the statements, run in order and atomically.
      caller: the name that identifies the caller for fair sharing of slots.
      after: the session's token for this database, which is the position of
        the session's last write; None if the session has not written to it.
      unsure: whether the outcome of an earlier write of the session is
        unknown; reads then go to the primary.
      max_age_s: the maximum age of the data that a read may return, in
        seconds; None to use the service's maximum.
      timeout_s: the time from the arrival to the deadline, in seconds.
      transaction: the request id of the transaction's BEGIN, or empty if the
        request is not part of an open transaction.
    """

    request_id: bytes
    service: str
    database: str
    kind: Kind
    statements: tuple[Statement, ...] = ()
    caller: str = ""
    after: position.Position | None = None
    unsure: bool = False
    max_age_s: float | None = None
    timeout_s: float = 5.0
    transaction: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class ResultSet:
    """The result of one statement.

    Attributes:
      columns: the names of the columns.
      rows: the rows, with one value for each column.
      changed: the number of rows that the statement changed.
    """

    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Value, ...], ...] = ()
    changed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The complete answer to a request.

    Attributes:
      request_id: the id of the request.
      results: one result set for each statement; empty if there is an error.
      token: for a write, its position, which later reads of the session send
        as `after`.
      upstream: the name of the upstream that ran the request.
      from_replica: whether a replica served the request.
      age_s: an upper bound on the age of the data read, in seconds; None if
        unknown.
      repeated: whether this is the recorded answer of an earlier run.
      error: the error, or None if the request succeeded.
    """

    request_id: bytes
    results: tuple[ResultSet, ...] = ()
    token: position.Position | None = None
    upstream: str = ""
    from_replica: bool = False
    age_s: float | None = None
    repeated: bool = False
    error: errors.FescueshuntError | None = None

    @property
    def outcome(self) -> errors.Outcome:
        """What the caller may conclude about its request."""
        return errors.Outcome.DONE if self.error is None else self.error.outcome


REQUEST_ID_BYTES = 16
REQUEST_ID_CLOCK_BYTES = 6


def issued_at_s(request_id: bytes) -> float:
    """Returns when `request_id` was created; seconds since the epoch."""
    clock = request_id[:REQUEST_ID_CLOCK_BYTES]
    return int.from_bytes(clock, "big") / 1000


def make_request_id(wall_s: float, random_bytes: bytes) -> bytes:
    """Returns a new request id.

    Args:
      wall_s: the current wall clock time; seconds since the epoch.
      random_bytes: at least 10 random bytes, of which the first 10 are used.
    """
    clock = int(wall_s * 1000).to_bytes(REQUEST_ID_CLOCK_BYTES, "big")
    return clock + random_bytes[: REQUEST_ID_BYTES - REQUEST_ID_CLOCK_BYTES]
