"""Messages by which replica stand-ins read the log of their primary."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fescueshunt.core import position, request


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A log entry, written for a committed transaction or for a promotion.

    Attributes:
      term: the term of the primary that wrote the entry.
      statements: the statements of the transaction; empty for a promotion.
    """

    term: position.Term
    statements: tuple[request.Statement, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLog:
    """Requests the log entries that a replica lacks.

    The primary answers once its history differs from `history`, or after
    `wait_s`.

    Attributes:
      term: the term of the primary that should answer.
      history: the history of the replica's log.
      wait_s: the maximum time to wait for new entries, in seconds.
    """

    term: position.Term
    history: position.History
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LogRead:
    """The answer to `ReadLog`.

    Attributes:
      accepted: whether the upstream is the primary of the term.
      after: the index that the entries follow; the replica truncates its log
        after this index.
      entries: the entries to append.
    """

    accepted: bool
    after: int = 0
    entries: tuple[Entry, ...] = ()
