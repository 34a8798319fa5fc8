"""Requests of callers and the answers to them."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from fescueshunt import errors

if TYPE_CHECKING:
    from fescueshunt.core import position

Value = None | bool | int | float | str | bytes


class Kind(enum.StrEnum):
    """What a request asks for."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    STEP = "step"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    OUTCOME = "outcome"


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """One SQL statement with its positional parameters."""

    sql: str
    params: tuple[Value, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller.

    Attributes:
      request_id: 16 bytes; the first 6 are the caller's wall clock in
        milliseconds, big endian, the rest are random. A repeat of a request
        carries the same id.
      service: the declared service, which names rank, kind and durability.
      database: the database that the statements run on.
      kind: what is asked for.
      statements: run in order, all or nothing.
      caller: the name by which callers share the slots fairly.
      after: the session's token for this database: the position of its last
        write, or None for a session that has none here.
      unsure: whether the outcome of an earlier write of the session is
        unknown; reads then go to the primary.
      max_age_s: how old the data of a read may be; None for the service's.
      timeout_s: seconds from the arrival until the caller gives up.
      transaction: the request id of the BEGIN, for a statement within it.
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
    """The rows of one statement."""

    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Value, ...], ...] = ()
    changed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The whole answer to one request.

    Attributes:
      request_id: the request's id.
      results: one result set for each statement, empty with an error.
      token: for a write, the position that later reads of the session carry.
      upstream: who ran it.
      from_replica: whether a replica served it.
      age_s: an upper bound on the age of the data read, None where unknown.
      repeated: whether the recorded answer of an earlier run is given again.
      error: the typed failure, or None.
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
        """What the caller may conclude."""
        return errors.Outcome.DONE if self.error is None else self.error.outcome


REQUEST_ID_BYTES = 16
REQUEST_ID_CLOCK_BYTES = 6


def issued_at_s(request_id: bytes) -> float:
    """Returns the wall clock time at which `request_id` was made; seconds."""
    clock = request_id[:REQUEST_ID_CLOCK_BYTES]
    return int.from_bytes(clock, "big") / 1000


def make_request_id(wall_s: float, noise: bytes) -> bytes:
    """Returns a request id made at `wall_s` with 10 random bytes."""
    clock = int(wall_s * 1000).to_bytes(REQUEST_ID_CLOCK_BYTES, "big")
    return clock + noise[: REQUEST_ID_BYTES - REQUEST_ID_CLOCK_BYTES]
