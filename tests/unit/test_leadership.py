"""Tests of the leadership record in the store, and of its acknowledgement."""

from __future__ import annotations

import pytest

from fescueshunt.core import leadership, store_items
from fescueshunt.takeover import acknowledge, record_writer
from fescueshunt_standins.hosted import kv

DATABASE = "db"
KEY = leadership.record_key(DATABASE)
MOVING = leadership.Phase.MOVING
STEADY = leadership.Phase.STEADY
TOKEN = 30
MOVING_RECORD = leadership.Record(MOVING, "u0", 3)
WRITTEN = record_writer.WriteResult.WRITTEN
UNKNOWN = record_writer.WriteResult.UNKNOWN
LEASE = 7


def _stored(record: leadership.Record, revision: int) -> store_items.StoredKey:
    return store_items.StoredKey(leadership.format_record(record), revision, 0)


@pytest.mark.parametrize(
    "record",
    [
        leadership.Record(STEADY, "u1", 3, 9),
        leadership.Record(MOVING, "", 3, 9),
        leadership.Record(
            MOVING,
            "",
            3,
            9,
            5,
            (
                leadership.RecordedCall("a:b", 14, 2),
                leadership.RecordedCall("u2", 28),
            ),
        ),
    ],
)
def test_record_is_read_as_it_was_written(record):
    assert leadership.parse_record(_stored(record, 9)) == record


def test_record_without_calls_is_written_as_in_earlier_versions():
    record = leadership.Record(STEADY, "u1", 3)
    assert leadership.format_record(record) == "steady 3 u1"


@pytest.mark.parametrize(
    "value",
    ["", "steady", "steady x u1", "steady 3 u1 x", "moving 3 u1 5 u2"]
    + ["moving 3 u1 5 u2:14", "moving 3 u1 5 u2:x:1", "other 3 u1"],
)
def test_malformed_record_is_ignored(value):
    stored = store_items.StoredKey(value, 9, 0)
    assert leadership.parse_record(stored) is None


def _writer() -> record_writer.RecordWriter:
    record = leadership.Record(STEADY, "u0", 3, 9)
    return record_writer.RecordWriter(DATABASE, record, TOKEN)


def _answer(
    write: store_items.WriteKey, done: bool | None, revision: int = 0
) -> store_items.KeyWritten:
    return store_items.KeyWritten(1.1, KEY, done, revision, write)


def _read(
    writer: record_writer.RecordWriter, stored: store_items.StoredKey
) -> record_writer.WriteResult | None:
    read = writer.read(2.0)
    item = store_items.KeyRead(2.1, KEY, read.at, True, stored)
    return writer.check_read(item)


def test_record_is_written_only_under_the_duty_and_after_the_last_one():
    writer = _writer()
    first = writer.write(MOVING_RECORD, 1.0)
    guard = store_items.KeyRevision(store_items.DUTY_KEY, TOKEN)
    assert (first.expected, first.guard) == (9, guard)
    assert writer.check_written(_answer(first, True, 12)) is WRITTEN
    assert writer.announcement == 12
    second = writer.write(leadership.Record(STEADY, "u1", 4), 1.2)
    assert (second.expected, second.guard) == (12, guard)


# The answer to another write of the same key was taken for an announcement.
def test_answer_to_another_write_is_not_taken_for_the_own_one():
    writer = _writer()
    writer.write(MOVING_RECORD, 1.0)
    other = _writer().write(MOVING_RECORD, 0.9)
    assert writer.check_written(_answer(other, True, 12)) is None
    assert writer.announcement == 0


def test_write_without_an_answer_is_found_by_a_read():
    writer = _writer()
    write = writer.write(MOVING_RECORD, 1.0)
    assert writer.check_written(_answer(write, None)) is UNKNOWN
    stored = store_items.StoredKey(write.value, 12, 0)
    assert _read(writer, stored) is WRITTEN
    assert writer.announcement == 12


def test_write_that_was_not_done_is_repeated():
    writer = _writer()
    write = writer.write(MOVING_RECORD, 1.0)
    before = store_items.StoredKey("steady 3 u0", 9, 0)
    assert _read(writer, before) is record_writer.WriteResult.MISSING
    assert writer.repeat(3.0).expected == write.expected
    assert writer.check_written(_answer(write, True, 12)) is None


def test_record_of_another_holder_is_not_taken_for_the_own_one():
    writer = _writer()
    writer.write(MOVING_RECORD, 1.0)
    other = store_items.StoredKey("moving 3 u7", 12, 0)
    assert _read(writer, other) is record_writer.WriteResult.OVERTAKEN


def _acknowledged(
    acknowledger: acknowledge.Acknowledger,
    record: leadership.Record,
    revision: int,
) -> list[str]:
    stored = _stored(record, revision)
    item = store_items.KeyChanged(1.0, KEY, stored, revision)
    effects = acknowledger.process(item)
    return [e.value for e in effects if isinstance(e, store_items.WriteKey)]


def test_each_announcement_is_acknowledged_once():
    acknowledger = acknowledge.Acknowledger("h0")
    list(acknowledger.process(store_items.LeaseView(1.0, LEASE, 2.0)))
    call = leadership.RecordedCall("u1", TOKEN)
    with_call = leadership.Record(
        MOVING, "u0", 3, announcement=11, calls=(call,)
    )
    assert _acknowledged(acknowledger, MOVING_RECORD, 11) == ["11"]
    assert _acknowledged(acknowledger, with_call, 12) == []
    assert _acknowledged(acknowledger, MOVING_RECORD, 14) == ["14"]


def test_announcement_is_acknowledged_again_under_a_new_lease():
    acknowledger = acknowledge.Acknowledger("h0")
    list(acknowledger.process(store_items.LeaseView(1.0, LEASE, 2.0)))
    assert _acknowledged(acknowledger, MOVING_RECORD, 11) == ["11"]
    renewed = store_items.LeaseView(2.0, LEASE + 1, 3.0)
    effects = acknowledger.process(renewed)
    values = [e.value for e in effects if isinstance(e, store_items.WriteKey)]
    assert values == ["11"]


# A former holder of the duty wrote a record after the duty had changed hands.
@pytest.mark.parametrize(("duty_revision", "done"), [(0, True), (1, False)])
def test_store_writes_a_record_only_while_its_guard_holds(duty_revision, done):
    store = kv.KeyValueStore()
    duty = store_items.WriteKey(0.0, store_items.DUTY_KEY, "h0", 0, 0)
    _, token = store.write(duty)
    writer = record_writer.RecordWriter(DATABASE, None, token + duty_revision)
    written, _ = store.write(writer.write(MOVING_RECORD, 0.0))
    assert (written, KEY in store.keys) == (done, done)
