"""How long the status of members confirms a primary to a host without a lease.

A fence may end before its promotion is in force: a member restarts, or a RESUME
of an earlier attempt is late. Status does not tell such a member from one that
was never fenced.
"""

from __future__ import annotations

import dataclasses
import random

import pytest

from fescueshunt.core import (
    filters,
    leadership,
    position,
    replica_sets,
    session_items,
    sessions,
    store_items,
)
from fescueshunt.replicas import membership, pipe
from lib import hosted_routes

TICK_S = 0.02
LEASE_S = 1.2
LEASE = 7
TERM = 3
PRIMARY, TARGET, OTHER = "u0", "u1", "u2"
UPSTREAMS = (PRIMARY, TARGET, OTHER)
# Longer than a confirmation is valid.
GAP_S = 0.4
LONG_AGO = -2 * replica_sets.FORMER_MEMBER_TTL_S


@dataclasses.dataclass(slots=True)
class Member:
    """What a member answers to status calls, if it does.

    Attributes:
      delay_s: the time from a call until its answer.
    """

    role: sessions.ReplicaRole = sessions.ReplicaRole.REPLICA
    term: int = TERM
    paused_term: int = 0
    answers: bool = True
    delay_s: float = 0.0


class Host:
    """The replicas pipe of one host, whose members answer status calls.

    Attributes:
      now: the time of the last item fed.
      members: the members by id.
      calls: the status calls so far.
      view: the last view that the pipe emitted.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.members = {name: Member() for name in UPSTREAMS}
        self.members[PRIMARY].role = sessions.ReplicaRole.PRIMARY
        self.calls: list[session_items.CallUpstream] = []
        self.view: replica_sets.ReplicaSetView | None = None
        self._pipe = pipe.build(random.Random(1))
        self._due: list[tuple[float, session_items.CallUpstream]] = []
        self.feed(hosted_routes.routes_view(self.now))
        entries = tuple(self._entry(name) for name in UPSTREAMS)
        self.feed(store_items.EntriesListed(LONG_AGO, entries))
        self.read_record(leadership.Phase.STEADY, PRIMARY, TERM, 1)
        self.renew_lease()

    def feed(self, item: filters.Item) -> None:
        for effect in list(self._pipe.feed(item)):
            match effect:
                case replica_sets.ReplicaSetView():
                    self.view = effect
                case session_items.CallUpstream():
                    self.calls.append(effect)
                    delay_s = self.members[effect.upstream].delay_s
                    self._due.append((self.now + delay_s, effect))

    def renew_lease(self) -> None:
        """Gets a lease, or renews it."""
        valid_until = self.now + LEASE_S
        self.feed(store_items.LeaseView(self.now, LEASE, valid_until))

    def read_record(
        self, phase: leadership.Phase, upstream: str, term: int, revision: int
    ) -> None:
        record = leadership.Record(phase, upstream, term)
        value = leadership.format_record(record)
        stored = store_items.StoredKey(value, revision, 0)
        key = leadership.record_key(hosted_routes.DATABASE)
        self.feed(store_items.KeyChanged(self.now, key, stored, revision))

    def run(self, seconds: float) -> None:
        """Passes time, in which statements wait for a confirmed primary."""
        for _ in range(round(seconds / TICK_S)):
            database = hosted_routes.DATABASE
            self.feed(session_items.ConfirmationRequested(self.now, database))
            self._tick()

    def pass_idle(self, seconds: float) -> None:
        """Passes time, in which nobody uses the database."""
        for _ in range(round(seconds / TICK_S)):
            self._tick()

    def _tick(self) -> None:
        self.now += TICK_S
        due = [call for at, call in self._due if at <= self.now]
        self._due = [(at, c) for at, c in self._due if at > self.now]
        for call in due:
            self._answer(call)
        self.feed(filters.Tick(self.now, 0.0))

    def lose_lease(self) -> None:
        """Passes the time until the lease has ended."""
        self.run(LEASE_S + GAP_S)

    def fence(self, *names: str, term: int = TERM + 1) -> None:
        for name in names:
            self.members[name].paused_term = term

    def end_fence(self, *names: str) -> None:
        """Restarts members, or lets a RESUME reach them."""
        self.fence(*names, term=0)

    def lead(self, name: str, term: int) -> None:
        """Lets a promotion take effect; the other members follow."""
        for member in self.members.values():
            member.role, member.term = sessions.ReplicaRole.REPLICA, term
            member.paused_term = 0
        self.members[name].role = sessions.ReplicaRole.PRIMARY

    def cut_off(self, *names: str, is_cut_off: bool = True) -> None:
        for name in names:
            self.members[name].answers = not is_cut_off

    def relies_on(self, upstream: str) -> bool:
        return self.view.relies_on(upstream, self.now)

    def _entry(self, name: str) -> replica_sets.UpstreamEntry:
        address = f"127.0.0.1:{int(name[1:]) + 1}"
        return replica_sets.UpstreamEntry(
            name,
            hosted_routes.DATABASE,
            address,
            "z",
            2,
            False,
            self.members[name].role,
        )

    def _answer(self, call: session_items.CallUpstream) -> None:
        member = self.members[call.upstream]
        reply = None
        if member.answers:
            received = position.Position(position.Term(member.term), 1)
            status = sessions.ReplicaStatus(
                member.role,
                member.term,
                received,
                member.paused_term,
                0.0,
                0,
                1,
            )
            idle = sessions.TransactionState.IDLE
            reply = sessions.UpstreamReply(
                (), "", None, "", idle, received, status
            )
        self.feed(
            session_items.UpstreamCallCompleted(
                self.now, call.upstream, call.call, call.at, reply
            )
        )


@pytest.fixture(name="host")
def _host() -> Host:
    return Host()


# Failure: writes stop while the store is away, although no fence is on.
@pytest.mark.parametrize("silent", [None, TARGET, PRIMARY])
def test_primary_stays_confirmed_without_a_gap(host: Host, silent: str | None):
    if silent == PRIMARY:
        # The two replicas confirm it, as a commit needs one of them.
        host.run(LEASE_S)
    if silent:
        host.cut_off(silent)
    is_confirmed = []
    for _ in range(round(10.0 / TICK_S)):
        host.run(TICK_S)
        is_confirmed.append(host.relies_on(PRIMARY))
    assert all(is_confirmed)


# Failure: a member that was fenced and is not any more confirms the old
# primary, and what the old primary then commits is lost.
@pytest.mark.parametrize("fenced", [(TARGET, OTHER), (OTHER,)])
def test_fence_that_was_seen_ends_with_a_later_term(
    host: Host, fenced: tuple[str, ...]
):
    host.lose_lease()
    host.fence(*fenced)
    host.run(GAP_S)
    host.end_fence(*UPSTREAMS)
    host.run(20.0)
    assert not host.relies_on(PRIMARY)
    host.lead(TARGET, TERM + 1)
    host.run(GAP_S)
    assert host.relies_on(TARGET)


# Failure: the fence began under the lease, and this host had no record of it.
def test_fence_is_seen_while_the_lease_runs_out(host: Host):
    host.run(LEASE_S - GAP_S)
    host.fence(TARGET, OTHER)
    host.run(GAP_S + GAP_S / 2)
    host.end_fence(TARGET, OTHER)
    host.run(1.0)
    assert not host.relies_on(PRIMARY)


# Failure: the primary stepped down for a failover, restarted as the primary,
# and is confirmed by the member that was not fenced.
def test_step_down_that_was_seen_ends_with_a_later_term(host: Host):
    host.lose_lease()
    host.cut_off(TARGET)
    host.members[PRIMARY].role = sessions.ReplicaRole.REPLICA
    host.run(GAP_S)
    host.members[PRIMARY].role = sessions.ReplicaRole.PRIMARY
    host.run(1.0)
    assert not host.relies_on(PRIMARY)


# Failure: a host that reached too few members during the fence takes two that
# it reaches later for a confirmation.
@pytest.mark.parametrize("unseen", [(TARGET, OTHER), UPSTREAMS])
def test_after_a_gap_two_members_do_not_confirm(
    host: Host, unseen: tuple[str, ...]
):
    host.lose_lease()
    host.cut_off(*unseen)
    host.run(GAP_S)
    host.cut_off(PRIMARY, OTHER, is_cut_off=False)
    host.run(20.0)
    assert not host.relies_on(PRIMARY)


# Failure: status that comes too late to show each fence confirms a primary.
def test_slow_answers_of_two_members_do_not_confirm(host: Host):
    host.lose_lease()
    host.cut_off(TARGET)
    for name in (PRIMARY, OTHER):
        host.members[name].delay_s = replica_sets.CONFIRMATION_TTL_S
    host.run(1.0)
    for name in (PRIMARY, OTHER):
        host.members[name].delay_s = 0.0
    host.run(1.0)
    assert not host.relies_on(PRIMARY)


# Failure: a member that was dropped as silent, and may be the one that is to be
# promoted, is not missed after a gap.
def test_after_a_gap_a_silent_member_is_missed(host: Host):
    host.lose_lease()
    host.cut_off(*UPSTREAMS)
    host.feed(store_items.EntryRemoved(host.now, TARGET))
    host.run(membership.UNLISTED_TIMEOUT_S + 2.0)
    assert TARGET in host.view.silent
    host.cut_off(PRIMARY, OTHER, is_cut_off=False)
    host.run(1.0)
    assert not host.relies_on(PRIMARY)


# Failure: writes stop beside a silent replica when a lease is lost early,
# though no promotion is called before it could have expired.
def test_lease_that_is_lost_early_leaves_time_to_confirm(host: Host):
    host.cut_off(TARGET)
    host.feed(store_items.LeaseView(host.now, 0, 0.0))
    host.run(1.0)
    assert host.relies_on(PRIMARY)


# Failure: a lease that others don't count yet, and that followed one that was
# lost, is taken for the time in which a primary is confirmed.
def test_lease_that_is_not_counted_yet_is_no_confirmation(host: Host):
    host.cut_off(TARGET)
    host.feed(store_items.LeaseView(host.now, 0, 0.0))
    host.feed(store_items.LeaseView(host.now, LEASE + 1, 0.0))
    host.run(1.0)
    assert not host.relies_on(PRIMARY)


# Failure: a host doesn't write again after a gap although all members answer.
def test_after_a_gap_all_members_confirm(host: Host):
    host.lose_lease()
    host.cut_off(*UPSTREAMS)
    host.run(GAP_S)
    assert not host.relies_on(PRIMARY)
    host.cut_off(*UPSTREAMS, is_cut_off=False)
    host.run(GAP_S)
    assert host.relies_on(PRIMARY)


# Failure: the member to be promoted is still fenced, and the others confirm.
def test_after_a_gap_a_fenced_member_does_not_confirm(host: Host):
    host.lose_lease()
    host.cut_off(*UPSTREAMS)
    host.run(GAP_S)
    host.fence(TARGET)
    host.cut_off(*UPSTREAMS, is_cut_off=False)
    host.run(1.0)
    assert not host.relies_on(PRIMARY)


# Failure: a host that has acknowledged a failover relies on the old primary by
# status once its lease has ended.
def test_announced_failover_ends_with_a_later_term(host: Host):
    host.read_record(leadership.Phase.MOVING, PRIMARY, TERM, 2)
    host.lose_lease()
    assert not host.relies_on(PRIMARY)
    host.lead(TARGET, TERM + 1)
    host.run(GAP_S)
    assert host.relies_on(TARGET)


# Failure: a host that keeps its lease for long, and then loses it, forgets a
# failover that still lasts.
def test_announced_failover_is_not_forgotten_while_it_lasts(host: Host):
    host.read_record(leadership.Phase.MOVING, PRIMARY, TERM, 2)
    for _ in range(60):
        host.renew_lease()
        host.run(LEASE_S / 4)
    host.lose_lease()
    assert not host.relies_on(PRIMARY)


# Failure: a failover that was given up keeps a host from writing for good.
def test_record_under_a_lease_ends_a_fence_that_was_given_up(host: Host):
    host.lose_lease()
    host.fence(TARGET, OTHER)
    host.run(GAP_S)
    host.end_fence(TARGET, OTHER)
    host.run(GAP_S)
    assert not host.relies_on(PRIMARY)
    host.renew_lease()
    assert host.relies_on(PRIMARY)
    host.read_record(leadership.Phase.STEADY, PRIMARY, TERM, 2)
    host.lose_lease()
    assert host.relies_on(PRIMARY)


# Failure: the record of an earlier failover hides the fence of the next one.
def test_record_does_not_end_a_fence_seen_just_now(host: Host):
    host.run(LEASE_S - GAP_S)
    host.fence(TARGET, OTHER)
    host.run(GAP_S / 2)
    host.read_record(leadership.Phase.STEADY, PRIMARY, TERM, 2)
    host.end_fence(TARGET, OTHER)
    host.run(2.0)
    assert not host.relies_on(PRIMARY)


# Failure: a fence that ended long ago keeps a host, whose lease was valid all
# the time, from writing once the store is away.
def test_fence_is_forgotten_under_a_lease_that_lasts(host: Host):
    host.run(LEASE_S - GAP_S)
    host.fence(OTHER)
    host.run(GAP_S / 2)
    host.end_fence(OTHER)
    for _ in range(40):
        host.renew_lease()
        host.run(LEASE_S / 4)
    host.lose_lease()
    assert host.relies_on(PRIMARY)


def _count_calls(host: Host, seconds: float) -> int:
    before = len(host.calls)
    host.run(seconds)
    return len(host.calls) - before


# Failure: hosts ask members for their status on a calm day.
def test_no_status_is_asked_for_while_the_lease_is_renewed(host: Host):
    host.renew_lease()
    host.feed(filters.Tick(host.now + 0.35 + 0.1, 0.0))
    assert host.calls == []


# Failure: where hosts outnumber connections, each holds one for status calls
# all the time, and the others' statements are refused.
def test_scarce_connections_are_used_only_if_a_statement_waits(host: Host):
    names = frozenset(f"h{n}" for n in range(hosted_routes.MAX_CONNECTIONS + 1))
    host.feed(store_items.LiveHostsView(host.now, names))
    host.pass_idle(LEASE_S + GAP_S)
    assert host.calls == []
    host.run(GAP_S)
    assert host.relies_on(PRIMARY)


# Failure: a host asks for the status only if a statement waits, though there
# are enough connections.
def test_connections_for_all_hosts_are_used_for_status(host: Host):
    names = frozenset(f"h{n}" for n in range(hosted_routes.MAX_CONNECTIONS))
    host.feed(store_items.LiveHostsView(host.now, names))
    host.pass_idle(LEASE_S + GAP_S)
    assert host.relies_on(PRIMARY)


# Failure: hosts without a lease ask for the status of databases that nobody
# uses.
def test_unused_database_is_not_polled_for_long(host: Host):
    host.lose_lease()
    assert _count_calls(host, 1.0) >= 3 * 4
    host.pass_idle(20.0)
    before = len(host.calls)
    host.pass_idle(5.0)
    assert len(host.calls) == before
