"""The reasons why statements and sessions fail."""

from __future__ import annotations

import enum


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
    DENIED = "denied"
    INVALID = "invalid"


NOT_RUN = frozenset(
    {
        Failure.BUSY,
        Failure.LAGGING,
        Failure.READ_ONLY,
        Failure.NO_STATEMENT,
        Failure.WRONG_UPSTREAM,
        Failure.CONNECTION_LIMIT,
        Failure.DENIED,
    }
)
# An upstream gives these for refusing a connection while it has no room.
NO_ROOM = frozenset({Failure.CONNECTION_LIMIT, Failure.BUSY})
