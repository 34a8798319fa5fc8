"""Tests of replica set membership.

An entry of another program must not become a member, and an upstream that only
lost its connection to the store must stay one.
"""

from __future__ import annotations

import dataclasses

import pytest

from fescueshunt import errors
from fescueshunt.core import (
    filters,
    replica_sets,
    routes,
    session_items,
    sessions,
    store_items,
)
from fescueshunt.replicas import items, membership
from fescueshunt.takeover import fence
from lib import hosted_routes

DATABASE = hosted_routes.DATABASE
ADDRESS = "127.0.0.1:1"
TICK_S = 0.1


def _entry(
    upstream: str, database: str = DATABASE, address: str = ADDRESS
) -> replica_sets.UpstreamEntry:
    role = sessions.ReplicaRole.REPLICA
    return replica_sets.UpstreamEntry(
        upstream, database, address, "z", 2, False, role
    )


def _changes(emitted: list[filters.Item]) -> list[items.MembersChanged]:
    return [item for item in emitted if isinstance(item, items.MembersChanged)]


def _silent(changed: items.MembersChanged) -> set[str]:
    """Returns the former members that may still run."""
    return {member.upstream for member in changed.former if member.may_run}


def _left(changed: items.MembersChanged) -> set[str]:
    """Returns the known former members that don't run any more."""
    return {
        member.upstream
        for member in changed.former
        if not member.may_run and not member.is_unknown
    }


def _members(emitted: list[filters.Item]) -> list[str]:
    return [entry.upstream for entry in _changes(emitted)[-1].entries]


class MembershipHarness:
    """The membership filter with three listed upstreams."""

    def __init__(self) -> None:
        self.filter = membership.Membership()
        self.feed(hosted_routes.routes_view(0.0))
        listed = tuple(_entry(name) for name in ("u0", "u1", "u2"))
        self.feed(store_items.EntriesListed(0.0, listed))

    def feed(self, item: filters.Item) -> list[filters.Item]:
        return list(self.filter.process(item))

    def pass_time(
        self, start: float, end: float, answers: bool
    ) -> tuple[list[filters.Item], int]:
        """Feeds ticks from `start` to `end`.

        Args:
          start: the time before the first tick.
          end: the time at which the ticks end.
          answers: whether a polled upstream answers.

        Returns:
          The emitted items and the number of polls.
        """
        emitted: list[filters.Item] = []
        polls = 0
        now = start
        while now < end:
            now += TICK_S
            effects = self.feed(filters.Tick(now, 0.0))
            emitted += effects
            for effect in effects:
                if isinstance(effect, session_items.UpstreamSuspected):
                    polls += 1
                    if answers:
                        emitted += self.feed(_answer(effect.upstream, now))
        return emitted, polls


def _answer(upstream: str, now: float) -> session_items.UpstreamCallCompleted:
    reply = sessions.UpstreamReply(
        (), "", None, "", sessions.TransactionState.IDLE, None
    )
    call = sessions.GetStatus()
    return session_items.UpstreamCallCompleted(now, upstream, call, now, reply)


def test_entry_of_an_unconfigured_replica_set_is_ignored():
    harness = MembershipHarness()
    foreign = store_items.EntryChanged(1.0, _entry("x", "elsewhere"))
    assert _changes(harness.feed(foreign)) == []
    policy = routes.ReplicaSetPolicy("elsewhere", 16, 1)
    view = routes.RoutesView(2.0, 2, {}, {"elsewhere": policy}, 3.0)
    assert _members(harness.feed(view)) == ["x"]


def test_entries_listed_before_the_first_routes_become_members_with_them():
    membership_filter = membership.Membership()
    listed = store_items.EntriesListed(0.0, (_entry("u0"),))
    assert _changes(list(membership_filter.process(listed))) == []
    emitted = list(membership_filter.process(hosted_routes.routes_view(1.0)))
    assert _members(emitted) == ["u0"]


def test_unlisted_upstream_that_answers_stays_a_member():
    harness = MembershipHarness()
    harness.feed(store_items.EntryRemoved(1.0, "u1"))
    emitted, polls = harness.pass_time(1.0, 30.0, answers=True)
    assert polls >= 25
    assert _changes(emitted) == []


def test_unlisted_upstream_that_does_not_answer_is_dropped():
    harness = MembershipHarness()
    harness.feed(store_items.EntryRemoved(1.0, "u1"))
    before, _ = harness.pass_time(1.0, 4.8, answers=False)
    assert _changes(before) == []
    after, _ = harness.pass_time(4.8, 5.5, answers=False)
    assert _members(after) == ["u0", "u2"]


def test_silent_upstream_may_run_until_another_one_has_its_address():
    harness = MembershipHarness()
    moved = _entry("u1", address="127.0.0.1:2")
    harness.feed(store_items.EntryChanged(0.5, moved))
    harness.feed(store_items.EntryRemoved(1.0, "u1"))
    emitted, _ = harness.pass_time(1.0, 6.0, answers=False)
    assert _silent(_changes(emitted)[-1]) == {"u1"}
    elsewhere = store_items.EntryChanged(6.0, _entry("u3"))
    assert _silent(_changes(harness.feed(elsewhere))[-1]) == {"u1"}
    replacement = _entry("u4", address=moved.address)
    emitted = harness.feed(store_items.EntryChanged(6.0, replacement))
    assert _silent(_changes(emitted)[-1]) == set()


# Guards against lost commits: the upstream that has replaced a member, and is
# not listed yet, may acknowledge commits with the others.
def test_replaced_upstream_counts_as_silent_until_its_successor_is_listed():
    harness = MembershipHarness()
    moved = _entry("u1", address="127.0.0.1:2")
    harness.feed(store_items.EntryChanged(0.5, moved))
    harness.feed(store_items.EntryRemoved(1.0, "u1"))
    call = sessions.GetStatus()
    refused = session_items.UpstreamCallCompleted(
        2.0, "u1", call, 2.0, None, True, True
    )
    emitted = harness.feed(refused)
    assert _members(emitted) == ["u0", "u2"]
    assert _silent(_changes(emitted)[-1]) == {"u1"}
    successor = _entry("u4", address=moved.address)
    emitted = harness.feed(store_items.EntryChanged(3.0, successor))
    assert _members(emitted) == ["u0", "u2", "u4"]
    assert _silent(_changes(emitted)[-1]) == set()


# Guards against an outage: a member whose successor is listed already can't
# come back, and must not be waited for.
def test_member_with_a_listed_successor_does_not_count_as_silent():
    harness = MembershipHarness()
    moved = _entry("u1", address="127.0.0.1:2")
    harness.feed(store_items.EntryChanged(0.5, moved))
    harness.feed(store_items.EntryRemoved(1.0, "u1"))
    successor = _entry("u4", address=moved.address)
    harness.feed(store_items.EntryChanged(2.0, successor))
    emitted, _ = harness.pass_time(2.0, 8.0, answers=False)
    assert _members(emitted) == ["u0", "u2", "u4"]
    assert _silent(_changes(emitted)[-1]) == set()


# Guards against lost commits: a host that could not read the entries for a
# while may have missed a member that has come and vanished.
def test_listing_after_a_gap_restarts_the_watch():
    harness = MembershipHarness()
    listed = tuple(_entry(name) for name in ("u0", "u1"))
    emitted = harness.feed(store_items.EntriesListed(90.0, listed))
    assert _changes(emitted)[-1].watched_since == 90.0


def _leave(
    harness: MembershipHarness, *, drains: bool, drained_s: float, reason: str
) -> items.MembersChanged:
    """Removes the entry of u1, whose connections then fail with `reason`."""
    moved = _entry("u1", address="127.0.0.1:2")
    leaving = dataclasses.replace(moved, draining=drains)
    harness.feed(store_items.EntryChanged(1.0, leaving))
    now = 1.0 + drained_s
    emitted = harness.feed(store_items.EntryRemoved(now, "u1"))
    now += TICK_S
    emitted += harness.feed(session_items.UpstreamSuspected(now, "u1", reason))
    emitted += harness.pass_time(now, now + 6.0, answers=False)[0]
    return _changes(emitted)[-1]


# Failure: after planned replacements no primary was promoted for a minute, as
# members that had left as planned counted as running.
def test_member_that_left_as_planned_does_not_count_as_silent():
    code = errors.NobodyListensError.code
    drained_s = membership.MIN_DRAIN_S
    changed = _leave(
        MembershipHarness(), drains=True, drained_s=drained_s, reason=code
    )
    assert _left(changed) == {"u1"}
    assert _silent(changed) == set()


# Guards against lost commits: entries also expire while the store is down, and
# a member that crashed or was cut off may still run, or run again.
@pytest.mark.parametrize(
    ("drains", "drained_s", "reason"),
    [
        (False, 9.0, errors.NobodyListensError.code),
        (True, 3.0, errors.NobodyListensError.code),
        (True, 9.0, errors.ConnectionLostError.code),
    ],
)
def test_member_that_may_not_have_left_as_planned_counts_as_silent(
    drains: bool, drained_s: float, reason: str
):
    changed = _leave(
        MembershipHarness(), drains=drains, drained_s=drained_s, reason=reason
    )
    assert _left(changed) == set()
    assert _silent(changed) == {"u1"}


def test_refused_connection_of_a_listed_member_proves_nothing():
    harness = MembershipHarness()
    leaving = dataclasses.replace(_entry("u1"), draining=True)
    harness.feed(store_items.EntryChanged(1.0, leaving))
    code = errors.NobodyListensError.code
    suspected = session_items.UpstreamSuspected(9.0, "u1", code)
    assert harness.feed(suspected) == [suspected]


def test_fence_needs_every_replica_once_the_old_primary_is_dropped():
    members = {name: _entry(name) for name in ("u1", "u2")}
    assert fence.Fence(members, "u0", 2).required == 2
    members["u0"] = _entry("u0")
    assert fence.Fence(members, "u0", 2).required == 2


# Failure: a member that was gone for good was waited for like one that may run,
# for 4 s after its entry was removed.
def test_unlisted_member_is_dropped_once_its_address_refuses_connections():
    harness = MembershipHarness()
    moved = _entry("u1", address="127.0.0.1:2")
    harness.feed(store_items.EntryChanged(0.5, moved))
    harness.feed(store_items.EntryRemoved(1.0, "u1"))
    code = errors.NobodyListensError.code
    harness.feed(session_items.UpstreamSuspected(1.5, "u1", code))
    changed = _changes(harness.feed(filters.Tick(1.6, 0.0)))[-1]
    assert [entry.upstream for entry in changed.entries] == ["u0", "u2"]
    assert _silent(changed) == {"u1"}
    (former,) = (f for f in changed.former if f.upstream == "u1")
    assert former.gone_at == 1.5
