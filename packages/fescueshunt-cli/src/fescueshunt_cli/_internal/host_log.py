"""Reads the logs of hosts to find the cause of a statement's result.

A host writes one JSON line for each decision. Lines that are not JSON, such as
the output of other programs, are ignored.
"""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

# Events that change a host's view of the system. Of each kind and subject, the
# newest event is in force.
VIEW_EVENTS = frozenset(
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
        "fenced",
        "promotion_called",
        "promotion_answered",
        "store_lost",
        "store_regained",
        "link_failed",
        "unexpected_reply",
        "pools",
    }
)
SUBJECT_FIELDS = ("database", "upstream")
COMMON_FIELDS = frozenset(
    {"at", "event", "host", "zone", "level", "timestamp", "statement"}
)


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """A log line, which records one decision of a host.

    Attributes:
      host: the name of the host.
      event: the kind of decision.
      at: the host's clock, in seconds since its boot; None if the line has no
        clock value.
      timestamp: the wall clock time, ISO 8601.
      statement: the id of the statement concerned, or empty.
      details: the other fields of the line.
    """

    host: str
    event: str
    at: float | None
    timestamp: str
    statement: str
    details: Mapping[str, Any]

    @property
    def subject(self) -> tuple[str, ...]:
        """The event and the values of its database and upstream fields."""
        values = (str(self.details.get(name, "")) for name in SUBJECT_FIELDS)
        return (self.event, *values)


@dataclasses.dataclass(frozen=True, slots=True)
class ViewEntry:
    """A part of a host's view when it decided on a statement.

    Attributes:
      entry: the log entry that set this part of the view.
      age_s: the age of the entry at that time, in seconds; None if unknown.
    """

    entry: LogEntry
    age_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """The log entries that explain one statement.

    Attributes:
      entries: the decisions on the statement.
      view: the host's view when it made the first of these decisions.
    """

    entries: tuple[LogEntry, ...]
    view: tuple[ViewEntry, ...]


def read_entries(lines: Iterable[str]) -> Iterator[LogEntry]:
    """Yields the entries in lines of text; text before the JSON is ignored."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and isinstance(fields.get("event"), str):
            yield _make_entry(fields)


def explain(entries: Iterable[LogEntry], statement: str) -> Explanation:
    """Returns the decisions on `statement` and the host's view at the time."""
    newest_by_host: dict[str, dict[tuple[str, ...], LogEntry]] = {}
    decisions: list[LogEntry] = []
    view: tuple[ViewEntry, ...] = ()
    for entry in entries:
        if entry.statement == statement:
            if not decisions:
                in_force = newest_by_host.get(entry.host, {}).values()
                view = tuple(_make_view_entry(old, entry) for old in in_force)
            decisions.append(entry)
        elif entry.event in VIEW_EVENTS:
            newest_by_host.setdefault(entry.host, {})[entry.subject] = entry
    return Explanation(tuple(decisions), view)


def _make_entry(fields: Mapping[str, Any]) -> LogEntry:
    at = fields.get("at")
    return LogEntry(
        host=str(fields.get("host", "")),
        event=fields["event"],
        at=float(at) if isinstance(at, int | float) else None,
        timestamp=str(fields.get("timestamp", "")),
        statement=str(fields.get("statement", "")),
        details={
            key: value
            for key, value in fields.items()
            if key not in COMMON_FIELDS
        },
    )


def _make_view_entry(entry: LogEntry, decision: LogEntry) -> ViewEntry:
    if entry.at is None or decision.at is None:
        return ViewEntry(entry, None)
    return ViewEntry(entry, decision.at - entry.at)
