"""The log of hosts: what a statement met, and what its host believed then.

A host writes JSON lines, one for each decision. Lines that are none, such as
the output of other programs, are left out.
"""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

# Decisions that change what a host believes, newest of each kind and subject.
BELIEFS = frozenset(
    {
        "started",
        "routes_in_force",
        "routes_unreadable",
        "readiness",
        "primary_changed",
        "vote",
        "duty_taken",
        "duty_lost",
        "duty_given_up",
        "replacing",
        "replacing_ended",
        "store_lost",
        "store_regained",
        "link_failed",
        "pools",
    }
)
SUBJECTS = ("database", "upstream")
NOT_DETAILS = frozenset(
    {"at", "event", "host", "zone", "level", "timestamp", "statement"}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One decision.

    Attributes:
      host: who decided.
      at: the host's clock, seconds since its boot; None where none is told.
      timestamp: the time of day, ISO 8601.
      details: what decided it.
    """

    host: str
    event: str
    at: float | None
    timestamp: str
    statement: str
    details: Mapping[str, Any]

    @property
    def subject(self) -> tuple[str, ...]:
        """What it is about: its kind, and the database or upstream."""
        about = (str(self.details.get(name, "")) for name in SUBJECTS)
        return (self.event, *about)


@dataclasses.dataclass(frozen=True, slots=True)
class Belief:
    """A line in force when a statement ended; `age_s` is its age then."""

    line: Line
    age_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """What the log says of one statement.

    Attributes:
      lines: the decisions that touched it.
      beliefs: what its host believed when the first of them was made.
    """

    lines: tuple[Line, ...]
    beliefs: tuple[Belief, ...]


def read(texts: Iterable[str]) -> Iterator[Line]:
    """Yields the decisions in lines of text; a prefix is passed over."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            found = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(found, dict) and isinstance(found.get("event"), str):
            yield _line(found)


def explain(lines: Iterable[Line], statement: str) -> Explanation:
    """Returns what the log says of `statement`."""
    newest: dict[str, dict[tuple[str, ...], Line]] = {}
    touched: list[Line] = []
    beliefs: tuple[Belief, ...] = ()
    for line in lines:
        if line.statement == statement:
            if not touched:
                believed = newest.get(line.host, {}).values()
                beliefs = tuple(_belief(one, line) for one in believed)
            touched.append(line)
        elif line.event in BELIEFS:
            newest.setdefault(line.host, {})[line.subject] = line
    return Explanation(tuple(touched), beliefs)


def _line(found: Mapping[str, Any]) -> Line:
    at = found.get("at")
    return Line(
        host=str(found.get("host", "")),
        event=found["event"],
        at=float(at) if isinstance(at, int | float) else None,
        timestamp=str(found.get("timestamp", "")),
        statement=str(found.get("statement", "")),
        details={
            key: value for key, value in found.items() if key not in NOT_DETAILS
        },
    )


def _belief(line: Line, then: Line) -> Belief:
    if line.at is None or then.at is None:
        return Belief(line, None)
    return Belief(line, then.at - line.at)
