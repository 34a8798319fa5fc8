"""Membership table filter: accepts or rejects claims about members.

A claim replaces an entry if its incarnation is higher, or if the incarnation
is equal and its state has a higher precedence, in the order live, suspect,
leaving, dead. A proxy that receives a false claim about itself refutes it with
a higher incarnation. Source: Das, Gupta and Motivala,
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

REMOVE_DEAD_AFTER_S = 60.0
_STATE_PRECEDENCE = {
    views.MemberState.LIVE: 0,
    views.MemberState.SUSPECT: 1,
    views.MemberState.LEAVING: 2,
    views.MemberState.DEAD: 3,
}


@dataclasses.dataclass(slots=True)
class MembershipTableState:
    """State of the filter.

    Attributes:
      members: all members including this proxy, by name.
      dead_since: when a member was declared dead, by name; local clock,
        seconds.
      listed_hosts: the names on the newest platform list that was not empty;
        None before the first one.
      stopping: whether this proxy is shutting down.
    """

    members: dict[str, views.Member]
    dead_since: dict[str, float] = dataclasses.field(default_factory=dict)
    listed_hosts: frozenset[str] | None = None
    stopping: bool = False


class MembershipTable(filters.Filter):
    """Accepts or rejects claims about members, including this proxy."""

    def __init__(self, local_proxy: identity.Identity) -> None:
        self._local_name = local_proxy.name
        member = views.Member.from_identity(local_proxy)
        self._state = MembershipTableState({local_proxy.name: member})

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the changes of the table, and passes other items on."""
        match item:
            case items.MemberClaimed():
                yield from self._handle_claim(item)
            case items.HostListReceived():
                self._state.listed_hosts = (
                    item.names or self._state.listed_hosts
                )
                yield item
            case process.StopAsked():
                self._state.stopping = True
                yield from self._announce_state(
                    views.MemberState.LEAVING, item.at
                )
                yield item
            case filters.Tick():
                yield from self._remove_unlisted_dead(item.at)
                yield item
            case _:
                yield item

    def _handle_claim(
        self, item: items.MemberClaimed
    ) -> Iterator[filters.Item]:
        if item.member.name == self._local_name:
            yield from self._handle_claim_about_self(item)
            return
        current = self._state.members.get(item.member.name)
        if not takes_precedence(item.member, current):
            return
        if current is None and item.member.state is views.MemberState.DEAD:
            return
        yield from self._set_member(item.member, item.source, item.at)
        yield from self._declare_replaced_dead(item.member, item.at)

    def _handle_claim_about_self(
        self, item: items.MemberClaimed
    ) -> Iterator[filters.Item]:
        local_member = self._state.members[self._local_name]
        if not takes_precedence(item.member, local_member):
            return
        if item.source is items.ClaimSource.LIST:
            yield from self._set_member(item.member, item.source, item.at)
            return
        refutation = dataclasses.replace(
            local_member, incarnation=item.member.incarnation + 1
        )
        yield from self._set_member(refutation, items.ClaimSource.SELF, item.at)

    def _announce_state(
        self, state: views.MemberState, now: float
    ) -> Iterator[filters.Item]:
        local_member = self._state.members[self._local_name]
        announced = dataclasses.replace(local_member, state=state)
        yield from self._set_member(announced, items.ClaimSource.SELF, now)

    def _declare_replaced_dead(
        self, newer: views.Member, now: float
    ) -> Iterator[filters.Item]:
        """Declares older members dead whose address `newer` now uses."""
        if newer.state is not views.MemberState.LIVE:
            return
        for member in list(self._state.members.values()):
            is_replaced = (
                member.address == newer.address
                and member.name != newer.name
                and member.incarnation < newer.incarnation
                and member.state is not views.MemberState.DEAD
            )
            if is_replaced:
                dead = dataclasses.replace(member, state=views.MemberState.DEAD)
                yield from self._set_member(dead, items.ClaimSource.PROBE, now)

    def _set_member(
        self, member: views.Member, source: items.ClaimSource, now: float
    ) -> Iterator[filters.Item]:
        self._state.members[member.name] = member
        if member.state is views.MemberState.DEAD:
            self._state.dead_since[member.name] = now
        else:
            self._state.dead_since.pop(member.name, None)
        yield items.MemberChanged(now, member, source)

    def _remove_unlisted_dead(self, now: float) -> Iterator[filters.Item]:
        listed_hosts = self._state.listed_hosts
        if listed_hosts is None or not self._state.dead_since:
            return
        removable = [
            name
            for name, since in self._state.dead_since.items()
            if now - since > REMOVE_DEAD_AFTER_S and name not in listed_hosts
        ]
        for name in removable:
            del self._state.dead_since[name]
            del self._state.members[name]
            yield items.MemberRemoved(now, name)


def takes_precedence(claim: views.Member, current: views.Member | None) -> bool:
    """Returns whether `claim` replaces the entry `current`, if there is one."""
    if current is None:
        return True
    if claim.incarnation != current.incarnation:
        return claim.incarnation > current.incarnation
    return _STATE_PRECEDENCE[claim.state] > _STATE_PRECEDENCE[current.state]
