"""The table of members: which claims are accepted.

A claim wins if its incarnation is higher, or if it is the same and its state
is further on the way from live to dead. A proxy that hears a false claim about
itself refutes it with a higher incarnation. Source: Das, Gupta and Motivala,
"SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol", DSN 2002.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, process, views
from fescueshunt.members import items

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import identity

FORGET_AFTER_S = 60.0
_ORDER = {
    views.MemberState.LIVE: 0,
    views.MemberState.SUSPECT: 1,
    views.MemberState.LEAVING: 2,
    views.MemberState.DEAD: 3,
}


@dataclasses.dataclass(slots=True)
class TableState:
    """What the table holds; times of death in seconds, local clock."""

    members: dict[str, views.Member]
    dead_since: dict[str, float] = dataclasses.field(default_factory=dict)
    listed: frozenset[str] | None = None
    stopping: bool = False


class Table(filters.Filter):
    """Accepts or drops claims about members, this proxy among them."""

    def __init__(self, me: identity.Identity) -> None:
        self._me = me.name
        member = views.Member(me.name, me.zone, me.address, me.incarnation)
        self._state = TableState({me.name: member})

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields what changed in the table."""
        match item:
            case items.Claimed():
                yield from self._claim(item)
            case items.ListSeen():
                self._state.listed = item.names or self._state.listed
                yield item
            case process.StopAsked():
                self._state.stopping = True
                yield from self._declare(views.MemberState.LEAVING, item.at)
                yield item
            case filters.Tick():
                yield from self._forget(item.at)
                yield item
            case _:
                yield item

    def _claim(self, item: items.Claimed) -> Iterator[filters.Item]:
        if item.member.name == self._me:
            yield from self._claim_about_me(item)
            return
        known = self._state.members.get(item.member.name)
        if not is_newer(item.member, known):
            return
        if known is None and item.member.state is views.MemberState.DEAD:
            return
        yield from self._set(item.member, item.evidence, item.at)
        yield from self._retire_reused(item.member, item.at)

    def _claim_about_me(self, item: items.Claimed) -> Iterator[filters.Item]:
        mine = self._state.members[self._me]
        if not is_newer(item.member, mine):
            return
        if item.evidence is items.Evidence.LIST:
            yield from self._set(item.member, item.evidence, item.at)
            return
        refuted = dataclasses.replace(
            mine, incarnation=item.member.incarnation + 1
        )
        yield from self._set(refuted, items.Evidence.SELF, item.at)

    def _declare(
        self, state: views.MemberState, now: float
    ) -> Iterator[filters.Item]:
        mine = self._state.members[self._me]
        declared = dataclasses.replace(mine, state=state)
        yield from self._set(declared, items.Evidence.SELF, now)

    def _retire_reused(
        self, newer: views.Member, now: float
    ) -> Iterator[filters.Item]:
        """Retires older proxies whose address a newer start now has."""
        if newer.state is not views.MemberState.LIVE:
            return
        for member in list(self._state.members.values()):
            reused = (
                member.address == newer.address
                and member.name != newer.name
                and member.incarnation < newer.incarnation
                and member.state is not views.MemberState.DEAD
            )
            if reused:
                dead = dataclasses.replace(member, state=views.MemberState.DEAD)
                yield from self._set(dead, items.Evidence.PROBE, now)

    def _set(
        self, member: views.Member, evidence: items.Evidence, now: float
    ) -> Iterator[filters.Item]:
        self._state.members[member.name] = member
        if member.state is views.MemberState.DEAD:
            self._state.dead_since[member.name] = now
        else:
            self._state.dead_since.pop(member.name, None)
        yield items.Changed(now, member, evidence)

    def _forget(self, now: float) -> Iterator[filters.Item]:
        listed = self._state.listed
        if listed is None or not self._state.dead_since:
            return
        gone = [
            name
            for name, since in self._state.dead_since.items()
            if now - since > FORGET_AFTER_S and name not in listed
        ]
        for name in gone:
            del self._state.dead_since[name]
            del self._state.members[name]
            yield items.Forgotten(now, name)


def is_newer(claim: views.Member, known: views.Member | None) -> bool:
    """Tells whether `claim` says more than what is known."""
    if known is None:
        return True
    if claim.incarnation != known.incarnation:
        return claim.incarnation > known.incarnation
    return _ORDER[claim.state] > _ORDER[known.state]
