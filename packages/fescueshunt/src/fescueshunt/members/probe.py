"""Failure detection filter: pings one member per period, as in SWIM.

The load on a proxy does not depend on the number of members. A member that
does not ack is first pinged by other proxies (an indirect probe), so that one
faulty link does not make it suspect. A suspect that does not refute the
suspicion within SUSPICION_TIMEOUT_S is declared dead.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, membership, views
from fescueshunt.core import items as core_items
from fescueshunt.members import items

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from fescueshunt.core import identity

PERIOD_S = 0.5
ACK_TIMEOUT_S = 0.3
INDIRECT_ACK_TIMEOUT_S = 0.4
SUSPICION_TIMEOUT_S = 2.0
CANDIDATE_PERIOD_S = 1.0
INDIRECT_PROBERS = 2
STATE_CHANGE_PINGS = 8


@dataclasses.dataclass(slots=True)
class PendingPing:
    """A ping whose ack has not arrived yet.

    Attributes:
      target: the member pinged; None for a candidate.
      requester: the proxy on whose behalf the ping was sent; "" if none.
      deadline: when the ping times out; local clock, seconds.
      indirect: whether other proxies have been asked to ping the target.
    """

    target: views.Member | None
    requester: str
    deadline: float
    indirect: bool = False


@dataclasses.dataclass(slots=True)
class FailureDetectorState:
    """State of the filter.

    Times are on the local clock, in seconds.

    Attributes:
      local_member: this proxy's own entry.
      members: the other members, by name.
      pending_pings: pings that wait for an ack, by sequence number.
      suspicion_deadlines: when a suspect is declared dead, by name.
      candidates: names of the candidates, "" if unknown, by address.
      probe_order: members left to ping in the current round.
      next_probe_at: when the next member is pinged.
      next_candidate_at: when the next candidate and dead member are pinged.
      seq: the sequence number of the last ping.
    """

    local_member: views.Member
    members: dict[str, views.Member] = dataclasses.field(default_factory=dict)
    pending_pings: dict[int, PendingPing] = dataclasses.field(
        default_factory=dict
    )
    suspicion_deadlines: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    candidates: dict[str, str] = dataclasses.field(default_factory=dict)
    probe_order: collections.deque[str] = dataclasses.field(
        default_factory=collections.deque
    )
    next_probe_at: float = float("-inf")
    next_candidate_at: float = float("-inf")
    seq: int = 0


class FailureDetector(filters.Filter):
    """Detects failed proxies by direct and indirect pings."""

    def __init__(
        self, local_proxy: identity.Identity, rng: random.Random
    ) -> None:
        member = views.Member.from_identity(local_proxy)
        self._state = FailureDetectorState(member)
        self._rng = rng

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields pings, acks and claims."""
        match item:
            case core_items.PeerReceived(message=membership.Ping() as ping):
                yield from self._handle_ping(item.at, item.sender, ping)
                yield item
            case core_items.PeerReceived(message=membership.Ack() as ack):
                yield from self._handle_ack(item.at, ack)
                yield item
            case core_items.PeerReceived(
                message=membership.ProbeRequest() as probe_request
            ):
                yield self._ping_member(
                    item.at, probe_request.target, item.sender
                )
            case core_items.PeerReceived(
                message=membership.ProbeReport() as report
            ):
                self._handle_probe_report(report)
            case core_items.PeerLost():
                yield from self._handle_connection_lost(item.at, item.name)
                yield item
            case items.ProxyCandidate():
                yield from self._add_candidate(item)
            case items.MemberChanged():
                yield from self._handle_member_changed(item)
                yield item
            case items.MemberRemoved():
                self._state.members.pop(item.name, None)
                yield item
            case filters.Tick():
                yield from self._handle_tick(item.at)
                yield item
            case _:
                yield item

    def _handle_member_changed(
        self, item: items.MemberChanged
    ) -> Iterator[filters.Item]:
        member = item.member
        if member.name == self._state.local_member.name:
            yield from self._handle_local_member_changed(item)
            return
        self._state.candidates.pop(member.address, None)
        self._state.members[member.name] = member
        if member.state is views.MemberState.SUSPECT:
            deadline = item.at + SUSPICION_TIMEOUT_S
            self._state.suspicion_deadlines.setdefault(member.name, deadline)
        else:
            self._state.suspicion_deadlines.pop(member.name, None)

    def _handle_local_member_changed(
        self, item: items.MemberChanged
    ) -> Iterator[filters.Item]:
        previous_state = self._state.local_member.state
        self._state.local_member = item.member
        if item.member.state is previous_state:
            return
        for member in self._sample_members(STATE_CHANGE_PINGS):
            yield self._ping_member(item.at, member, "")

    def _handle_tick(self, now: float) -> Iterator[filters.Item]:
        yield from self._expire_pings(now)
        yield from self._expire_suspicions(now)
        if now >= self._state.next_probe_at:
            self._state.next_probe_at = now + PERIOD_S
            target = self._next_target()
            if target is not None:
                yield self._ping_member(now, target, "")
        if now >= self._state.next_candidate_at:
            self._state.next_candidate_at = now + CANDIDATE_PERIOD_S
            yield from self._ping_absent(now)

    def _next_target(self) -> views.Member | None:
        """Returns the next member to ping, in a random order, or None.

        Every member that is not dead is pinged before a new order is drawn.
        The result is None if there is no such member.
        """
        state = self._state
        while True:
            if not state.probe_order:
                names = [m.name for m in self._members_not_dead()]
                if not names:
                    return None
                self._rng.shuffle(names)
                state.probe_order.extend(names)
            member = state.members.get(state.probe_order.popleft())
            if member and member.state is not views.MemberState.DEAD:
                return member

    def _members_not_dead(self) -> list[views.Member]:
        return [
            member
            for member in self._state.members.values()
            if member.state is not views.MemberState.DEAD
        ]

    def _sample_members(
        self, count: int, excluded: str = ""
    ) -> list[views.Member]:
        members = [m for m in self._members_not_dead() if m.name != excluded]
        return self._rng.sample(members, min(count, len(members)))

    def _ping_absent(self, now: float) -> Iterator[filters.Item]:
        """Pings a random candidate and a random dead member, if any.

        A dead member may have come back.
        """
        if self._state.candidates:
            address = self._rng.choice(sorted(self._state.candidates))
            yield self._ping_address(now, address)
        dead = [
            member
            for member in self._state.members.values()
            if member.state is views.MemberState.DEAD
        ]
        if dead:
            yield self._ping_member(now, self._rng.choice(dead), "")

    def _add_candidate(
        self, item: items.ProxyCandidate
    ) -> Iterator[filters.Item]:
        known_addresses = [m.address for m in self._members_not_dead()]
        if item.address in (self._state.local_member.address, *known_addresses):
            return
        is_new = item.address not in self._state.candidates
        self._state.candidates[item.address] = item.name
        if is_new:
            yield self._ping_address(item.at, item.address)

    def _ping_address(self, now: float, address: str) -> filters.Item:
        name = self._state.candidates[address] or address
        seq = self._register_ping(PendingPing(None, "", now + ACK_TIMEOUT_S))
        ping = membership.Ping(seq, name, self._state.local_member)
        return core_items.SendPeer(now, name, ping, address)

    def _ping_member(
        self, now: float, target: views.Member, requester: str
    ) -> filters.Item:
        seq = self._register_ping(
            PendingPing(target, requester, now + ACK_TIMEOUT_S)
        )
        ping = membership.Ping(seq, target.name, self._state.local_member)
        return core_items.SendPeer(now, target.name, ping, target.address)

    def _register_ping(self, pending: PendingPing) -> int:
        self._state.seq += 1
        self._state.pending_pings[self._state.seq] = pending
        return self._state.seq

    def _handle_ping(
        self, now: float, sender: str, ping: membership.Ping
    ) -> Iterator[filters.Item]:
        source = items.ClaimSource.PROBE
        yield items.MemberClaimed(now, ping.sender, source)
        ack = membership.Ack(ping.seq, self._state.local_member)
        yield core_items.SendPeer(now, sender, ack, ping.sender.address)

    def _handle_ack(
        self, now: float, ack: membership.Ack
    ) -> Iterator[filters.Item]:
        yield items.MemberClaimed(now, ack.sender, items.ClaimSource.PROBE)
        pending = self._state.pending_pings.get(ack.seq)
        if pending is None or not _is_expected_sender(pending, ack.sender):
            return
        del self._state.pending_pings[ack.seq]
        if pending.requester:
            report = membership.ProbeReport(ack.sender)
            yield core_items.SendPeer(now, pending.requester, report)

    def _handle_probe_report(self, report: membership.ProbeReport) -> None:
        answered = [
            seq
            for seq, pending in self._state.pending_pings.items()
            if pending.target and pending.target.name == report.target.name
        ]
        for seq in answered:
            del self._state.pending_pings[seq]

    def _handle_connection_lost(
        self, now: float, name: str
    ) -> Iterator[filters.Item]:
        """Pings a member whose connection was lost.

        If a ping to it is already pending, that ping times out at once, so
        that the indirect probe starts.
        """
        pending_to_member = [
            pending
            for pending in self._state.pending_pings.values()
            if pending.target and pending.target.name == name
        ]
        for pending in pending_to_member:
            if not pending.indirect:
                pending.deadline = now
        member = self._state.members.get(name)
        if pending_to_member or member is None:
            return
        if member.state is not views.MemberState.DEAD:
            yield self._ping_member(now, member, "")

    def _expire_pings(self, now: float) -> Iterator[filters.Item]:
        expired = [
            seq
            for seq, p in self._state.pending_pings.items()
            if p.deadline <= now
        ]
        for seq in expired:
            pending = self._state.pending_pings.pop(seq)
            if pending.target is not None and not pending.requester:
                yield from self._handle_ping_timeout(now, pending)

    def _handle_ping_timeout(
        self, now: float, pending: PendingPing
    ) -> Iterator[filters.Item]:
        target = self._state.members.get(pending.target.name)
        if target is None or target.state is views.MemberState.DEAD:
            return
        probers = self._sample_members(INDIRECT_PROBERS, target.name)
        if not pending.indirect and probers:
            indirect_ping = PendingPing(
                target, "", now + INDIRECT_ACK_TIMEOUT_S, indirect=True
            )
            self._register_ping(indirect_ping)
            for prober in probers:
                probe_request = membership.ProbeRequest(target)
                yield core_items.SendPeer(now, prober.name, probe_request)
            return
        suspect = dataclasses.replace(target, state=views.MemberState.SUSPECT)
        yield items.MemberClaimed(now, suspect, items.ClaimSource.PROBE)

    def _expire_suspicions(self, now: float) -> Iterator[filters.Item]:
        overdue = [
            member_name
            for member_name, deadline in self._state.suspicion_deadlines.items()
            if deadline <= now
        ]
        for name in overdue:
            del self._state.suspicion_deadlines[name]
            member = self._state.members[name]
            dead = dataclasses.replace(member, state=views.MemberState.DEAD)
            yield items.MemberClaimed(now, dead, items.ClaimSource.PROBE)


def _is_expected_sender(pending: PendingPing, sender: views.Member) -> bool:
    return pending.target is None or pending.target.name == sender.name
