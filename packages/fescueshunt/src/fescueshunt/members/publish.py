"""Filter that publishes the fleet view when it changes, after joining."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, views
from fescueshunt.members import items

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import identity

JOIN_TIMEOUT_S = 2.0
JOIN_STABLE_S = 0.3
CUT_WINDOW_S = 5.0
UNREACHABLE_STATES = frozenset(
    {views.MemberState.SUSPECT, views.MemberState.DEAD}
)


@dataclasses.dataclass(slots=True)
class FleetViewPublisherState:
    """State of the filter.

    Times are on the local clock, in seconds.

    Attributes:
      members: all members, by name.
      started_at: the time of the first tick.
      changed_at: the time of the last change to a member.
      joined: whether this proxy has joined the fleet.
      dirty: whether the members have changed since the last published view.
      listed_hosts: the names of the hosts on the platform's list.
      draining_hosts: the hosts that operators are draining.
      unreachable_since: when a member became suspect or dead, by name.
    """

    members: dict[str, views.Member]
    started_at: float | None = None
    changed_at: float = 0.0
    joined: bool = False
    dirty: bool = True
    listed_hosts: frozenset[str] = frozenset()
    draining_hosts: frozenset[str] = frozenset()
    unreachable_since: dict[str, float] = dataclasses.field(
        default_factory=dict
    )


class FleetViewPublisher(filters.Filter):
    """Publishes the fleet view, at most once per tick.

    A proxy that has just started waits until the members that it discovers
    stop changing, so that it does not act as the only proxy of the fleet.
    """

    def __init__(self, local_proxy: identity.Identity) -> None:
        self._zone = local_proxy.zone
        member = views.Member.from_identity(local_proxy)
        self._state = FleetViewPublisherState({local_proxy.name: member})

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields fleet views, and consumes the changes to members."""
        match item:
            case items.MemberChanged():
                self._handle_member_changed(item)
            case items.MemberRemoved():
                self._state.members.pop(item.name, None)
                self._state.unreachable_since.pop(item.name, None)
                self._state.dirty = True
            case items.HostListReceived():
                self._state.listed_hosts = item.names
                yield item
            case views.SettingsView():
                self._set_draining_hosts(
                    frozenset(item.document.draining_hosts)
                )
                yield item
            case filters.Tick():
                yield from self._handle_tick(item.at)
                yield item
            case _:
                yield item

    def _handle_member_changed(self, item: items.MemberChanged) -> None:
        member = item.member
        self._state.members[member.name] = member
        self._state.changed_at = item.at
        self._state.dirty = True
        if member.state in UNREACHABLE_STATES:
            self._state.unreachable_since.setdefault(member.name, item.at)
        else:
            self._state.unreachable_since.pop(member.name, None)

    def _set_draining_hosts(self, draining_hosts: frozenset[str]) -> None:
        if draining_hosts != self._state.draining_hosts:
            self._state.draining_hosts = draining_hosts
            self._state.dirty = True

    def _handle_tick(self, now: float) -> Iterator[filters.Item]:
        state = self._state
        if state.started_at is None:
            state.started_at = now
        if not state.joined:
            state.joined = self._has_joined(now)
        if state.joined and state.dirty:
            state.dirty = False
            yield self._build_view(now)

    def _has_joined(self, now: float) -> bool:
        state = self._state
        if now - state.started_at >= JOIN_TIMEOUT_S:
            return True
        undiscovered_hosts = state.listed_hosts - state.members.keys()
        is_stable = now - state.changed_at >= JOIN_STABLE_S
        return len(state.members) > 1 and not undiscovered_hosts and is_stable

    def _build_view(self, now: float) -> views.FleetView:
        cut_zones = self._find_cut_zones()
        members = tuple(
            self._to_published_member(member, cut_zones)
            for _, member in sorted(self._state.members.items())
        )
        return views.FleetView(now, members, cut_zones)

    def _to_published_member(
        self, member: views.Member, cut_zones: frozenset[str]
    ) -> views.Member:
        if member.zone in cut_zones:
            return _to_cut_off_member(member)
        is_live = member.state is views.MemberState.LIVE
        if is_live and member.name in self._state.draining_hosts:
            return dataclasses.replace(member, state=views.MemberState.LEAVING)
        return member

    def _find_cut_zones(self) -> frozenset[str]:
        """Returns the zones that appear to be cut off by a network partition.

        All proxies of such a zone became unreachable within CUT_WINDOW_S of
        each other, and the platform still lists at least one of them. They
        most likely still run and serve inside their zone; the proxies of a
        failed zone soon disappear from the list.
        """
        zones = {m.zone for m in self._state.members.values()}
        return frozenset(
            zone
            for zone in zones
            if zone != self._zone and self._is_cut_off(zone)
        )

    def _is_cut_off(self, zone: str) -> bool:
        state = self._state
        members = [
            m
            for m in state.members.values()
            if m.zone == zone and m.state is not views.MemberState.LEAVING
        ]
        unreachable_times = [
            state.unreachable_since.get(m.name) for m in members
        ]
        if len(members) < 2 or None in unreachable_times:
            return False
        is_listed = any(m.name in state.listed_hosts for m in members)
        return (
            is_listed
            and max(unreachable_times) - min(unreachable_times) <= CUT_WINDOW_S
        )


def _to_cut_off_member(member: views.Member) -> views.Member:
    if member.state is views.MemberState.DEAD:
        return dataclasses.replace(member, state=views.MemberState.SUSPECT)
    return member
