"""Tests which log position a read needs when members of its set are silent.

Two members have every acknowledged commit. A host that hears from one of them
alone can't tell how far the other one, which it may have dropped, has gone on.
"""

from __future__ import annotations

import dataclasses
import random

import pytest

from fescueshunt.core import (
    filters,
    position,
    replica_sets,
    session_items,
    sessions,
    store_items,
)
from fescueshunt.replicas import membership, pipe
from lib import hosted_routes, replica_set_views

TICK_S = 0.05
FIRST_TERM = position.Term(1)
PRIMARY = "u0"
REPLICAS = ("u1", "u2")
LONG_AGO = -2 * replica_sets.FORMER_MEMBER_TTL_S


def _entry(upstream: str) -> replica_sets.UpstreamEntry:
    role = (
        sessions.ReplicaRole.PRIMARY
        if upstream == PRIMARY
        else sessions.ReplicaRole.REPLICA
    )
    address = f"127.0.0.1:{int(upstream[1:]) + 1}"
    return replica_set_views.make_entry(upstream, role, address=address)


class CutOffHost:
    """The replicas pipe of a host without a lease.

    Args:
      listed: the members that the host has listed.
      listed_at: when it did; by default so long ago that it knows of every
        former member.

    Attributes:
      now: the time of the last item fed.
      received: the position of each member that answers status calls.
      replaced: the members at whose address another upstream answers.
      view: the last view that the pipe emitted.
    """

    def __init__(self, *listed: str, listed_at: float = LONG_AGO) -> None:
        self.now = 0.0
        self.received: dict[str, int] = {}
        self.replaced: set[str] = set()
        self.view: replica_sets.ReplicaSetView | None = None
        self._pipe = pipe.build(random.Random(1))
        self.feed(hosted_routes.routes_view(self.now))
        entries = tuple(_entry(upstream) for upstream in listed)
        self.feed(store_items.EntriesListed(listed_at, entries))

    def feed(self, item: filters.Item) -> None:
        for effect in list(self._pipe.feed(item)):
            match effect:
                case replica_sets.ReplicaSetView():
                    self.view = effect
                case session_items.CallUpstream():
                    self._answer(effect)

    def run(self, seconds: float) -> None:
        """Passes time with reads that need the primary confirmed."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            self.feed(
                session_items.ConfirmationRequested(
                    self.now, hosted_routes.DATABASE
                )
            )
            self.feed(filters.Tick(self.now, 0.0))

    def _answer(self, call: session_items.CallUpstream) -> None:
        index = self.received.get(call.upstream)
        reply = _status_reply(call.upstream, index) if index else None
        self.feed(
            session_items.UpstreamCallCompleted(
                self.now,
                call.upstream,
                call.call,
                self.now,
                reply,
                refused=call.upstream in self.replaced,
            )
        )


def _status_reply(upstream: str, index: int) -> sessions.UpstreamReply:
    received = position.Position(FIRST_TERM, index)
    status = sessions.ReplicaStatus(
        _entry(upstream).role, FIRST_TERM.number, received, 0, 0.0, 0, 1
    )
    return sessions.UpstreamReply(
        (), "", None, "", sessions.TransactionState.IDLE, received, status
    )


def test_primary_and_replica_or_both_replicas_give_a_position():
    for answering in ((PRIMARY, REPLICAS[0]), REPLICAS):
        host = CutOffHost(PRIMARY, *REPLICAS)
        host.received = dict.fromkeys(answering, 849)
        host.run(1.0)
        assert host.view.position_as_of(host.now - 0.5) is not None


# Guards against stale reads: a host in a cut zone dropped the silent members
# and took the position of the one replica beside it for that of the whole set.
def test_lone_replica_gives_no_position_once_silent_members_are_dropped():
    host = CutOffHost(PRIMARY, *REPLICAS)
    host.received = dict.fromkeys((PRIMARY, *REPLICAS), 849)
    host.run(1.0)
    cut_at = host.now
    host.received = {REPLICAS[0]: 849}
    host.feed(store_items.EntryRemoved(host.now, PRIMARY))
    host.run(membership.UNLISTED_TIMEOUT_S + 2.0)
    assert PRIMARY not in {member.upstream for member in host.view.members}
    assert host.view.position_as_of(cut_at + 1.0) is None


def test_all_remaining_members_give_a_position_once_one_was_dropped():
    host = CutOffHost(PRIMARY, *REPLICAS)
    host.received = dict.fromkeys(REPLICAS, 849)
    host.feed(store_items.EntryRemoved(host.now, PRIMARY))
    host.run(membership.UNLISTED_TIMEOUT_S + 2.0)
    assert PRIMARY not in {member.upstream for member in host.view.members}
    assert host.view.position_as_of(host.now - 0.5) is not None


# Guards against stale reads where a replacement is listed before the silent
# primary is dropped, so that two members are not all but one.
def test_two_of_three_members_give_no_position_beside_a_silent_one():
    host = CutOffHost(PRIMARY, *REPLICAS, "u3")
    host.received = dict.fromkeys((REPLICAS[0], "u3"), 849)
    host.feed(store_items.EntryRemoved(host.now, PRIMARY))
    host.run(membership.UNLISTED_TIMEOUT_S + 2.0)
    assert host.view.position_as_of(1.0) is None
    host.run(replica_sets.FORMER_MEMBER_TTL_S)
    assert host.view.position_as_of(host.now - 0.5) is not None


# Guards against stale reads after a member has left: it may have acknowledged
# commits with the primary that only its successor has beside the primary.
def test_replicas_give_no_position_before_the_successor_of_one_is_counted():
    host = CutOffHost(PRIMARY, *REPLICAS, "u3")
    host.received = dict.fromkeys((PRIMARY, *REPLICAS, "u3"), 849)
    host.run(1.0)
    host.received = dict.fromkeys(REPLICAS, 849)
    host.replaced = {"u3"}
    host.feed(store_items.EntryRemoved(host.now, "u3"))
    host.run(2.0)
    assert "u3" not in {member.upstream for member in host.view.members}
    left_at = host.now
    host.run(1.0)
    assert host.view.position_as_of(left_at) is None
    successor = dataclasses.replace(_entry("u3"), upstream="u4")
    host.feed(store_items.EntryChanged(host.now, successor))
    host.run(1.0)
    assert host.view.position_as_of(left_at) is None
    host.received["u4"] = 872
    host.run(1.0)
    needed = host.view.position_as_of(left_at)
    assert needed == position.Position(FIRST_TERM, 872)


# Guards against stale reads at a host that started while an upstream's entry
# was missing, so that it never knew all members.
@pytest.mark.parametrize("listed", [REPLICAS, REPLICAS[:1]])
def test_lone_replica_gives_no_position_if_the_primary_was_never_listed(listed):
    host = CutOffHost(*listed)
    host.received = {REPLICAS[0]: 849}
    host.run(2.0)
    assert host.view.position_as_of(host.now - 1.0) is None


# Guards against stale reads at a host that has just started: a member that left
# before may have had the only other copy of what the primary acknowledged.
def test_replicas_give_no_position_to_a_host_that_has_just_started():
    host = CutOffHost(PRIMARY, *REPLICAS, listed_at=0.0)
    host.received = dict.fromkeys(REPLICAS, 849)
    host.run(2.0)
    assert host.view.position_as_of(host.now - 1.0) is None
    host.received = {PRIMARY: 872, REPLICAS[0]: 849}
    host.run(1.0)
    needed = host.view.position_as_of(host.now - 0.5)
    assert needed == position.Position(FIRST_TERM, 872)
    host.received = dict.fromkeys(REPLICAS, 872)
    host.run(replica_sets.FORMER_MEMBER_TTL_S)
    assert host.view.position_as_of(host.now - 0.5) is not None
