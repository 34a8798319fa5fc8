"""Probes: pings one member each period, and suspects those that don't ack.

The cost of a proxy is the same however many members there are. A member that
doesn't ack is pinged by others before it is suspected, so that one bad link
suspects nobody; a suspect that doesn't refute it in time is dead.
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
ACK_WAIT_S = 0.3
INDIRECT_WAIT_S = 0.4
SUSPECT_WAIT_S = 2.0
CANDIDATE_PERIOD_S = 1.0
HELPERS = 2
FIRST_NOTICES = 8


@dataclasses.dataclass(slots=True)
class Pending:
    """A ping that waits for its ack.

    Attributes:
      target: the member; None for a candidate.
      requester: the proxy on whose behalf it was sent, "" for this one.
      due: when the wait ends; seconds, local clock.
      indirect: whether other proxies have been asked.
    """

    target: views.Member | None
    requester: str
    due: float
    indirect: bool = False


@dataclasses.dataclass(slots=True)
class ProbeState:
    """What the filter remembers."""

    me: views.Member
    members: dict[str, views.Member] = dataclasses.field(default_factory=dict)
    pending: dict[int, Pending] = dataclasses.field(default_factory=dict)
    suspect_due: dict[str, float] = dataclasses.field(default_factory=dict)
    candidates: dict[str, str] = dataclasses.field(default_factory=dict)
    turn: collections.deque[str] = dataclasses.field(
        default_factory=collections.deque
    )
    next_at: float = float("-inf")
    next_candidate_at: float = float("-inf")
    seq: int = 0


class Probe(filters.Filter):
    """The failure detector."""

    def __init__(self, me: identity.Identity, chance: random.Random) -> None:
        member = views.Member(me.name, me.zone, me.address, me.incarnation)
        self._state = ProbeState(member)
        self._chance = chance

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields pings, acks and claims."""
        match item:
            case core_items.PeerReceived(message=membership.Ping() as ping):
                yield from self._pinged(item.at, item.sender, ping)
                yield item
            case core_items.PeerReceived(message=membership.Ack() as ack):
                yield from self._acked(item.at, ack)
                yield item
            case core_items.PeerReceived(
                message=membership.ProbeRequest() as wish
            ):
                yield self._ping(item.at, wish.target, item.sender)
            case core_items.PeerReceived(
                message=membership.ProbeReport() as report
            ):
                self._reported(report)
            case core_items.PeerLost():
                yield from self._lost(item.at, item.name)
                yield item
            case items.Candidate():
                yield from self._propose(item)
            case items.Changed():
                yield from self._note(item)
                yield item
            case items.Forgotten():
                self._state.members.pop(item.name, None)
                yield item
            case filters.Tick():
                yield from self._tick(item.at)
                yield item
            case _:
                yield item

    def _note(self, item: items.Changed) -> Iterator[filters.Item]:
        member = item.member
        if member.name == self._state.me.name:
            yield from self._note_me(item)
            return
        self._state.candidates.pop(member.address, None)
        self._state.members[member.name] = member
        if member.state is views.MemberState.SUSPECT:
            due = item.at + SUSPECT_WAIT_S
            self._state.suspect_due.setdefault(member.name, due)
        else:
            self._state.suspect_due.pop(member.name, None)

    def _note_me(self, item: items.Changed) -> Iterator[filters.Item]:
        was = self._state.me.state
        self._state.me = item.member
        if item.member.state is was:
            return
        for member in self._pick(FIRST_NOTICES):
            yield self._ping(item.at, member, "")

    def _tick(self, now: float) -> Iterator[filters.Item]:
        yield from self._expire(now)
        yield from self._bury(now)
        if now >= self._state.next_at:
            self._state.next_at = now + PERIOD_S
            target = self._next_target()
            if target is not None:
                yield self._ping(now, target, "")
        if now >= self._state.next_candidate_at:
            self._state.next_candidate_at = now + CANDIDATE_PERIOD_S
            yield from self._try_absent(now)

    def _next_target(self) -> views.Member | None:
        """Returns the next member of a random order over all of them."""
        state = self._state
        while True:
            if not state.turn:
                names = [m.name for m in self._present()]
                if not names:
                    return None
                self._chance.shuffle(names)
                state.turn.extend(names)
            member = state.members.get(state.turn.popleft())
            if member and member.state is not views.MemberState.DEAD:
                return member

    def _present(self) -> list[views.Member]:
        return [
            member
            for member in self._state.members.values()
            if member.state is not views.MemberState.DEAD
        ]

    def _pick(self, count: int, but: str = "") -> list[views.Member]:
        names = [m for m in self._present() if m.name != but]
        return self._chance.sample(names, min(count, len(names)))

    def _try_absent(self, now: float) -> Iterator[filters.Item]:
        """Pings one candidate and one dead member, which may be back."""
        if self._state.candidates:
            address = self._chance.choice(sorted(self._state.candidates))
            yield self._ping_address(now, address)
        dead = [
            member
            for member in self._state.members.values()
            if member.state is views.MemberState.DEAD
        ]
        if dead:
            yield self._ping(now, self._chance.choice(dead), "")

    def _propose(self, item: items.Candidate) -> Iterator[filters.Item]:
        present = [m.address for m in self._present()]
        if item.address in (self._state.me.address, *present):
            return
        is_new = item.address not in self._state.candidates
        self._state.candidates[item.address] = item.name
        if is_new:
            yield self._ping_address(item.at, item.address)

    def _ping_address(self, now: float, address: str) -> filters.Item:
        name = self._state.candidates[address] or address
        seq = self._next_seq(Pending(None, "", now + ACK_WAIT_S))
        ping = membership.Ping(seq, name, self._state.me)
        return core_items.SendPeer(now, name, ping, address)

    def _ping(
        self, now: float, target: views.Member, requester: str
    ) -> filters.Item:
        seq = self._next_seq(Pending(target, requester, now + ACK_WAIT_S))
        ping = membership.Ping(seq, target.name, self._state.me)
        return core_items.SendPeer(now, target.name, ping, target.address)

    def _next_seq(self, pending: Pending) -> int:
        self._state.seq += 1
        self._state.pending[self._state.seq] = pending
        return self._state.seq

    def _pinged(
        self, now: float, sender: str, ping: membership.Ping
    ) -> Iterator[filters.Item]:
        evidence = items.Evidence.PROBE
        yield items.Claimed(now, ping.sender, evidence)
        ack = membership.Ack(ping.seq, self._state.me)
        yield core_items.SendPeer(now, sender, ack, ping.sender.address)

    def _acked(self, now: float, ack: membership.Ack) -> Iterator[filters.Item]:
        yield items.Claimed(now, ack.sender, items.Evidence.PROBE)
        pending = self._state.pending.get(ack.seq)
        if pending is None or not _is_from(pending, ack.sender):
            return
        del self._state.pending[ack.seq]
        if pending.requester:
            report = membership.ProbeReport(ack.sender)
            yield core_items.SendPeer(now, pending.requester, report)

    def _reported(self, report: membership.ProbeReport) -> None:
        done = [
            seq
            for seq, pending in self._state.pending.items()
            if pending.target and pending.target.name == report.target.name
        ]
        for seq in done:
            del self._state.pending[seq]

    def _lost(self, now: float, name: str) -> Iterator[filters.Item]:
        """Pings a member whose connection ended; asks others if that fails."""
        waiting = [
            pending
            for pending in self._state.pending.values()
            if pending.target and pending.target.name == name
        ]
        for pending in waiting:
            if not pending.indirect:
                pending.due = now
        member = self._state.members.get(name)
        if waiting or member is None:
            return
        if member.state is not views.MemberState.DEAD:
            yield self._ping(now, member, "")

    def _expire(self, now: float) -> Iterator[filters.Item]:
        late = [seq for seq, p in self._state.pending.items() if p.due <= now]
        for seq in late:
            pending = self._state.pending.pop(seq)
            if pending.target is not None and not pending.requester:
                yield from self._unanswered(now, pending)

    def _unanswered(
        self, now: float, pending: Pending
    ) -> Iterator[filters.Item]:
        target = self._state.members.get(pending.target.name)
        if target is None or target.state is views.MemberState.DEAD:
            return
        others = self._pick(HELPERS, target.name)
        if not pending.indirect and others:
            again = Pending(target, "", now + INDIRECT_WAIT_S, indirect=True)
            self._next_seq(again)
            for other in others:
                wish = membership.ProbeRequest(target)
                yield core_items.SendPeer(now, other.name, wish)
            return
        suspect = dataclasses.replace(target, state=views.MemberState.SUSPECT)
        yield items.Claimed(now, suspect, items.Evidence.PROBE)

    def _bury(self, now: float) -> Iterator[filters.Item]:
        due = [n for n, at in self._state.suspect_due.items() if at <= now]
        for name in due:
            del self._state.suspect_due[name]
            member = self._state.members[name]
            dead = dataclasses.replace(member, state=views.MemberState.DEAD)
            yield items.Claimed(now, dead, items.Evidence.PROBE)


def _is_from(pending: Pending, sender: views.Member) -> bool:
    return pending.target is None or pending.target.name == sender.name
