"""Messages between upstream stand-ins: replicas read the primary's log."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fescueshunt.core import position, request


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One log entry: the statements of a committed transaction."""

    term: position.Term
    statements: tuple[request.Statement, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLog:
    """Asks the primary of `term` for what `history` lacks.

    Answered once there is something, or after `wait_s`.
    """

    term: position.Term
    history: position.History
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LogRead:
    """Entries that follow index `after`; what else follows it is cut off.

    `accepted` is false if the upstream is not the primary of the term.
    """

    accepted: bool
    after: int = 0
    entries: tuple[Entry, ...] = ()
