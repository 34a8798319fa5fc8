"""Records of the members of replica sets in the store."""

from __future__ import annotations

import dataclasses

import pytest

from fescueshunt.core import (
    filters,
    member_records,
    replica_sets,
    session_items,
    store_items,
)
from fescueshunt.replicas import items, membership
from fescueshunt.takeover import member_recorder
from lib import hosted_routes, hosted_world, replica_set_views

DATABASE = hosted_routes.DATABASE
KEY = member_records.record_key(DATABASE)
TOKEN = 7
NOW = 10.0
GONE = replica_sets.FormerMember("gone", 3, "127.0.0.1:9", True, NOW, NOW)


def _stored(value: str, revision: int = 1) -> store_items.StoredKey:
    return store_items.StoredKey(value, revision, 0)


def _record(*names: str, is_complete: bool = True) -> str:
    members = frozenset(
        member_records.RecordedMember(
            replica_sets.Incarnation(name, 0), "127.0.0.1:1"
        )
        for name in names
    )
    return member_records.format_record(
        member_records.MemberRecord(members, is_complete)
    )


@pytest.mark.parametrize("is_complete", [True, False])
@pytest.mark.parametrize("names", [(), ("u1",), ("u1", "odd@name", "u2")])
def test_record_is_read_as_it_was_written(names, is_complete):
    value = _record(*names, is_complete=is_complete)
    parsed = member_records.parse_database_record(KEY, _stored(value))
    assert parsed is not None
    database, record = parsed
    assert database == DATABASE
    assert record.is_complete == is_complete
    assert {m.incarnation.upstream for m in record.members} == set(names)


# Guards against a value that another program has left in the record's place.
@pytest.mark.parametrize(
    "value",
    ["", "full u1@0@a:1", "complete u1", "complete u1@x@a:1", "complete  "],
)
def test_odd_value_is_no_record(value):
    assert member_records.parse_database_record(KEY, _stored(value)) is None


class MembershipHarness:
    """The membership filter of a host that has listed two upstreams."""

    def __init__(self, record: str | None) -> None:
        self.filter = membership.Membership()
        self.changed: items.MembersChanged | None = None
        self.feed(hosted_routes.routes_view(0.0))
        entries = tuple(
            replica_set_views.make_entry(name) for name in ("u0", "u2")
        )
        self.feed(store_items.EntriesListed(0.0, entries))
        keys = {KEY: _stored(record)} if record is not None else {}
        self.feed(store_items.KeysListed(0.0, keys, 1))

    def feed(self, item: filters.Item) -> None:
        """Feeds an item, and keeps the last change of the members."""
        for emitted in self.filter.process(item):
            if isinstance(emitted, items.MembersChanged):
                self.changed = emitted

    def change_record(self, value: str, revision: int) -> None:
        stored = _stored(value, revision)
        self.feed(store_items.KeyChanged(1.0, KEY, stored, revision))


# Failure: a host that was started again did not know of a lost replica.
def test_recorded_member_without_an_entry_is_a_member_that_is_not_listed():
    harness = MembershipHarness(_record("u0", "u1", "u2"))
    assert harness.changed is not None
    listed = {e.upstream: e.listed for e in harness.changed.entries}
    assert listed == {"u0": True, "u1": False, "u2": True}
    assert not any(former.is_unknown for former in harness.changed.former)


@pytest.mark.parametrize("record", [None, _record("u0", is_complete=False)])
def test_host_without_a_complete_record_may_not_know_all_members(record):
    harness = MembershipHarness(record)
    assert harness.changed is not None
    assert any(former.is_unknown for former in harness.changed.former)


# Guards against a record from before a gap, whose writer had the same gap.
def test_known_record_does_not_count_after_a_gap():
    record = _record("u0", "u2")
    harness = MembershipHarness(record)
    entries = harness.changed.entries
    harness.feed(store_items.EntriesListed(5.0, entries))
    harness.feed(store_items.KeysListed(5.0, {KEY: _stored(record)}, 9))
    assert any(former.is_unknown for former in harness.changed.former)


# Guards against an outage: what the holder found to be covered was waited for
# by other hosts.
def test_member_that_left_the_record_is_not_kept():
    harness = MembershipHarness(_record("u0", "u1", "u2"))
    now = membership.UNLISTED_TIMEOUT_S + 1.0
    harness.feed(filters.Tick(now, 0.0))
    assert {former.upstream for former in harness.changed.former} == {"u1"}
    harness.change_record(_record("u0", "u2"), 2)
    assert harness.changed.former == ()


def _view(
    *former: replica_sets.FormerMember, now: float = NOW
) -> replica_sets.ReplicaSetView:
    entries = [replica_set_views.make_entry(name) for name in ("u0", "u1")]
    view = replica_set_views.make_view(
        entries, "u0", now=now, confirmed_until=NOW + 100.0
    )
    return dataclasses.replace(view, former=former)


class RecorderHarness:
    """The recorder of a host that may hold the duty."""

    def __init__(self, *, holds_duty: bool) -> None:
        self.filter = member_recorder.MemberRecorder()
        token = TOKEN if holds_duty else 0
        self.feed(store_items.DutyView(NOW, token, NOW, NOW + 100.0))

    def feed(self, item: filters.Item) -> list[filters.Item]:
        """Returns the effects of an item."""
        return [e for e in self.filter.process(item) if e is not item]


def test_holder_records_members_and_former_members_once():
    harness = RecorderHarness(holds_duty=True)
    (write,) = harness.feed(_view(GONE))
    assert isinstance(write, store_items.WriteKey)
    assert write.guard == store_items.KeyRevision(store_items.DUTY_KEY, TOKEN)
    _, record = member_records.parse_database_record(KEY, _stored(write.value))
    names = {m.incarnation.upstream for m in record.members}
    assert names == {"u0", "u1", "gone"}
    assert record.is_complete
    assert harness.feed(_view(GONE)) == []


def test_other_hosts_record_nothing():
    harness = RecorderHarness(holds_duty=False)
    assert harness.feed(_view(GONE)) == []
    assert harness.feed(filters.Tick(NOW + 9.0, 0.0)) == []


def _later(count: int) -> float:
    return NOW + count * (member_recorder.RETRY_AFTER_S + 0.1)


# Guards against a record that stays without a member, as its write was lost.
def test_record_that_is_not_stored_is_written_again():
    harness = RecorderHarness(holds_duty=True)
    (write,) = harness.feed(_view())
    assert harness.feed(filters.Tick(_later(1), 0.0)) == []
    harness.feed(store_items.KeyWritten(_later(1), KEY, None, 0, write))
    (repeated,) = harness.feed(filters.Tick(_later(2), 0.0))
    assert repeated.value == write.value
    harness.feed(store_items.KeyWritten(_later(2), KEY, True, 9, repeated))
    assert harness.feed(filters.Tick(_later(3), 0.0)) == []


# Guards against a holder that has not read the last record yet, and would
# leave out a member that only its predecessor knew.
def test_record_is_written_only_in_place_of_the_one_that_was_read():
    harness = RecorderHarness(holds_duty=True)
    stored = _stored(_record("u0", "u1", "unknown"), revision=5)
    harness.feed(store_items.KeyChanged(NOW, KEY, stored, 5))
    (write,) = harness.feed(_view())
    assert write.expected == 5
    harness.feed(store_items.KeyWritten(NOW, KEY, False, 0, write))
    harness.feed(store_items.KeyChanged(NOW, KEY, None, 6))
    (repeated,) = harness.feed(filters.Tick(_later(1), 0.0))
    assert repeated.expected == 0


def test_members_are_polled_only_while_a_former_one_may_be_covered():
    harness = RecorderHarness(holds_duty=True)
    harness.feed(_view(GONE))
    polls = [
        effect
        for effect in harness.feed(filters.Tick(NOW, 0.0))
        if isinstance(effect, session_items.CallUpstream)
    ]
    assert {poll.upstream for poll in polls} == {"u0", "u1"}
    harness.feed(_view())
    later = harness.feed(filters.Tick(NOW + 0.5, 0.0))
    assert not any(isinstance(e, session_items.CallUpstream) for e in later)


def test_calm_replica_set_is_soon_recorded_as_complete():
    world = hosted_world.World(1)
    world.run(4.0)
    parsed = member_records.parse_database_record(KEY, world.store.keys[KEY])
    assert parsed is not None
    _, record = parsed
    names = {m.incarnation.upstream for m in record.members}
    assert names == set(world.replicas.members)
    assert record.is_complete
