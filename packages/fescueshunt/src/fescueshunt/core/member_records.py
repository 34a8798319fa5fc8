"""Member records: the store keys that list the members of a replica set.

There is one record for each replica set. It lists each process that may have
acknowledged a commit which no replica but itself is known to hold, whether it
is registered any more or not. The host that holds the failover duty writes it,
so that hosts which start later know of members that are gone.
"""

from __future__ import annotations

import dataclasses

from fescueshunt.core import digits, replica_sets, store_items

RECORDS_PREFIX = store_items.KEY_PREFIX + "members/"
SEPARATOR = " "
FIELD_SEPARATOR = "@"
MEMBER_FIELDS = 3
COMPLETE = "complete"
PARTIAL = "partial"


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class RecordedMember:
    """A process of an upstream that is, or was, a member.

    Attributes:
      incarnation: the process.
      address: its network address.
    """

    incarnation: replica_sets.Incarnation
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRecord:
    """The member record of a replica set.

    Attributes:
      members: the members and former members.
      is_complete: whether its writer knew of each former member.
    """

    members: frozenset[RecordedMember]
    is_complete: bool


def record_key(database: str) -> str:
    """Returns the store key of the member record of `database`."""
    return RECORDS_PREFIX + database


def format_record(record: MemberRecord) -> str:
    """Returns the value that represents `record` in the store."""
    fields = [COMPLETE if record.is_complete else PARTIAL]
    for member in sorted(record.members):
        process = member.incarnation
        parts = (process.upstream, str(process.started_ms), member.address)
        fields.append(FIELD_SEPARATOR.join(parts))
    return SEPARATOR.join(fields)


def parse_database_record(
    key: str, stored: store_items.StoredKey
) -> tuple[str, MemberRecord] | None:
    """Returns the database and the record that are stored under `key`.

    Returns None if `key` is not the key of a member record or if its value is
    malformed.
    """
    database = key.removeprefix(RECORDS_PREFIX)
    completeness, *texts = stored.value.split(SEPARATOR)
    is_named = key.startswith(RECORDS_PREFIX) and database
    if not is_named or completeness not in (COMPLETE, PARTIAL):
        return None
    members = [_parse_member(text) for text in texts]
    if None in members:
        return None
    return database, MemberRecord(frozenset(members), completeness == COMPLETE)


def _parse_member(text: str) -> RecordedMember | None:
    parts = text.rsplit(FIELD_SEPARATOR, 2)
    if len(parts) != MEMBER_FIELDS or not all(parts):
        return None
    upstream, started, address = parts
    started_ms = digits.parse_number(started)
    if started_ms is None:
        return None
    process = replica_sets.Incarnation(upstream, started_ms)
    return RecordedMember(process, address)
