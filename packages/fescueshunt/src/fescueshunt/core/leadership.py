"""The record of who leads a replica set, one key of the store for each.

A holder of the failover duty writes it before it begins and after it ends. A
host whose lease holds, and that has acknowledged no move, may rely on it.
"""

from __future__ import annotations

import dataclasses
import enum

from fescueshunt.core import store_items

RECORDS_PREFIX = store_items.KEY_PREFIX + "primaries/"
ACKS_PREFIX = store_items.KEY_PREFIX + "acks/"


class Phase(enum.Enum):
    """Whether a primary leads or is being replaced."""

    STEADY = "steady"
    MOVING = "moving"


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Who leads, or led before the move.

    Attributes:
      upstream: the primary; "" if none was known before the move.
      revision: of the key; 0 if it was never written.
    """

    phase: Phase
    upstream: str
    term: int
    revision: int = 0

    @property
    def is_moving(self) -> bool:
        """Whether the primary is being replaced."""
        return self.phase is Phase.MOVING


def record_key(database: str) -> str:
    """Returns the key of a database's record."""
    return RECORDS_PREFIX + database


def database_from_key(key: str) -> str:
    """Returns the database whose record `key` is, "" for another key."""
    if not key.startswith(RECORDS_PREFIX):
        return ""
    return key.removeprefix(RECORDS_PREFIX)


def parse_database_record(
    key: str, stored: store_items.StoredKey
) -> tuple[str, Record] | None:
    """Returns the database and its record, None if `key` holds none."""
    database = database_from_key(key)
    record = parse_record(stored) if database else None
    return (database, record) if record is not None else None


def ack_key(database: str, host: str) -> str:
    """Returns the key by which `host` acknowledges a move."""
    return f"{ACKS_PREFIX}{database}/{host}"


def format_record(record: Record) -> str:
    """Returns a record as it is kept in the store."""
    return f"{record.phase.value} {record.term} {record.upstream}"


def parse_record(stored: store_items.StoredKey) -> Record | None:
    """Returns the record that `stored` is, None if it is none."""
    phase, _, rest = stored.value.partition(" ")
    term, _, upstream = rest.partition(" ")
    known = {one.value: one for one in Phase}
    if phase not in known or not term.isdecimal():
        return None
    return Record(known[phase], upstream, int(term), stored.revision)
