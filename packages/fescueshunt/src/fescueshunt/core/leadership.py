"""Leadership records: the store keys that name the primary of a replica set.

There is one record for each replica set. The host that holds the failover duty
writes it before it starts and after it finishes a failover, and before each
call for a promotion. A host may rely on the record while its lease is valid and
it has not acknowledged a failover.
"""

from __future__ import annotations

import dataclasses
import enum

from fescueshunt.core import digits, store_items

RECORDS_PREFIX = store_items.KEY_PREFIX + "primaries/"
ACKS_PREFIX = store_items.KEY_PREFIX + "acks/"
SEPARATOR = " "
CALL_SEPARATOR = ":"
# What a record without these fields means: term, upstream, announcement.
DEFAULT_FIELDS = ("", "", "0")


class Phase(enum.Enum):
    """The phase of a leadership record.

    STEADY: the recorded primary leads. MOVING: it is being replaced.
    """

    STEADY = "steady"
    MOVING = "moving"


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class RecordedCall:
    """Calls for the promotion of one upstream that may still take effect.

    Attributes:
      upstream: the id of the upstream to promote.
      token: the fencing token of the caller.
      count: how many of the calls may still take effect; 0 if all have expired,
        though one of them may have taken effect unseen.
    """

    upstream: str
    token: int
    count: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The leadership record of a replica set.

    Attributes:
      upstream: the id of the primary, or of the previous primary during a
        failover; "" if no primary was known before the failover.
      revision: the revision of the key in the store; 0 if the record has not
        been written.
      announcement: the revision of the record that announced the failover; 0 in
        that record itself.
      calls: the calls for promotions that may still take effect.
    """

    phase: Phase
    upstream: str
    term: int
    revision: int = 0
    announcement: int = 0
    calls: tuple[RecordedCall, ...] = ()

    @property
    def is_failing_over(self) -> bool:
        """Whether the primary is being replaced."""
        return self.phase is Phase.MOVING


def record_key(database: str) -> str:
    """Returns the store key of the leadership record of `database`."""
    return RECORDS_PREFIX + database


def database_from_key(key: str) -> str:
    """Returns the database of a leadership record key.

    Returns "" if `key` is not the key of a leadership record.
    """
    if not key.startswith(RECORDS_PREFIX):
        return ""
    return key.removeprefix(RECORDS_PREFIX)


def parse_database_record(
    key: str, stored: store_items.StoredKey
) -> tuple[str, Record] | None:
    """Returns the database and the record that are stored under `key`.

    Returns None if `key` is not the key of a leadership record or if its value
    is malformed.
    """
    database = database_from_key(key)
    record = parse_record(stored) if database else None
    return (database, record) if record is not None else None


def ack_key(database: str, host: str) -> str:
    """Returns the key with which `host` acknowledges a failover."""
    escaped_host = host.replace("%", "%25").replace("/", "%2F")
    return f"{ACKS_PREFIX}{database}/{escaped_host}"


def parse_ack_key(key: str) -> tuple[str, str]:
    """Returns the database and the host of a key made by `ack_key`."""
    database, _, host = key.removeprefix(ACKS_PREFIX).rpartition("/")
    return database, host.replace("%2F", "/").replace("%25", "%")


def format_record(record: Record) -> str:
    """Returns the value that represents `record` in the store."""
    fields = [record.phase.value, str(record.term), record.upstream]
    if record.calls:
        fields.append(str(record.announcement))
    fields += [_format_call(call) for call in record.calls]
    return SEPARATOR.join(fields)


def parse_record(stored: store_items.StoredKey) -> Record | None:
    """Returns the record in `stored`, or None if its value is malformed."""
    phase, *rest = stored.value.split(SEPARATOR)
    term, upstream, announcement, *calls = [*rest, *DEFAULT_FIELDS[len(rest) :]]
    phases = {member.value: member for member in Phase}
    term_number = digits.parse_number(term)
    announcement_number = digits.parse_number(announcement)
    parsed_calls = tuple(_parse_call(call) for call in calls)
    if phase not in phases or term_number is None:
        return None
    if announcement_number is None or None in parsed_calls:
        return None
    return Record(
        phases[phase],
        upstream,
        term_number,
        stored.revision,
        announcement_number,
        parsed_calls,
    )


def _format_call(call: RecordedCall) -> str:
    numbers = (str(call.token), str(call.count))
    return CALL_SEPARATOR.join((call.upstream, *numbers))


def _parse_call(text: str) -> RecordedCall | None:
    upstream, *numbers = text.rsplit(CALL_SEPARATOR, 2)
    token, count, *_ = [*map(digits.parse_number, numbers), None, None]
    if token is None or count is None:
        return None
    return RecordedCall(upstream, token, count)
