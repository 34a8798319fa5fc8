"""Publishing: the fleet view, once this proxy has joined, at each change."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, views
from fescueshunt.members import items

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import identity

JOIN_LIMIT_S = 2.0
JOIN_QUIET_S = 0.3
CUT_WINDOW_S = 5.0
GONE_STATES = frozenset({views.MemberState.SUSPECT, views.MemberState.DEAD})


@dataclasses.dataclass(slots=True)
class PublishState:
    """What the filter remembers.

    Attributes:
      started_at: the time of the first tick.
      changed_at: the time of the last change.
      lost_at: since when a member is suspect or dead.
      draining: the hosts that operators drain.
    """

    members: dict[str, views.Member]
    started_at: float | None = None
    changed_at: float = 0.0
    joined: bool = False
    dirty: bool = True
    listed: frozenset[str] = frozenset()
    draining: frozenset[str] = frozenset()
    lost_at: dict[str, float] = dataclasses.field(default_factory=dict)


class Publish(filters.Filter):
    """Publishes the fleet view, one at the most for each tick.

    A proxy that has just started waits until the fleet that it finds is quiet,
    so that it doesn't take itself for the only one.
    """

    def __init__(self, me: identity.Identity) -> None:
        self._zone = me.zone
        member = views.Member(me.name, me.zone, me.address, me.incarnation)
        self._state = PublishState({me.name: member})

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields fleet views."""
        match item:
            case items.Changed():
                self._change(item)
            case items.Forgotten():
                self._state.members.pop(item.name, None)
                self._state.lost_at.pop(item.name, None)
                self._state.dirty = True
            case items.ListSeen():
                self._state.listed = item.names
                yield item
            case views.SettingsView():
                self._drain(frozenset(item.document.draining_hosts))
                yield item
            case filters.Tick():
                yield from self._tick(item.at)
                yield item
            case _:
                yield item

    def _change(self, item: items.Changed) -> None:
        member = item.member
        self._state.members[member.name] = member
        self._state.changed_at = item.at
        self._state.dirty = True
        if member.state in GONE_STATES:
            self._state.lost_at.setdefault(member.name, item.at)
        else:
            self._state.lost_at.pop(member.name, None)

    def _drain(self, draining: frozenset[str]) -> None:
        if draining != self._state.draining:
            self._state.draining = draining
            self._state.dirty = True

    def _tick(self, now: float) -> Iterator[filters.Item]:
        state = self._state
        if state.started_at is None:
            state.started_at = now
        if not state.joined:
            state.joined = self._has_joined(now)
        if state.joined and state.dirty:
            state.dirty = False
            yield self._view(now)

    def _has_joined(self, now: float) -> bool:
        state = self._state
        if now - state.started_at >= JOIN_LIMIT_S:
            return True
        missing = state.listed - state.members.keys()
        is_quiet = now - state.changed_at >= JOIN_QUIET_S
        return len(state.members) > 1 and not missing and is_quiet

    def _view(self, now: float) -> views.FleetView:
        cut = self._cut_zones()
        members = tuple(
            self._as_seen(member, cut)
            for _, member in sorted(self._state.members.items())
        )
        return views.FleetView(now, members, cut)

    def _as_seen(
        self, member: views.Member, cut: frozenset[str]
    ) -> views.Member:
        if member.zone in cut:
            return _as_cut(member)
        is_live = member.state is views.MemberState.LIVE
        if is_live and member.name in self._state.draining:
            return dataclasses.replace(member, state=views.MemberState.LEAVING)
        return member

    def _cut_zones(self) -> frozenset[str]:
        """Returns zones that went silent whole, at once, and are listed.

        The proxies of such a zone most likely still run and serve there; those
        of a zone that died are soon off the platform's list.
        """
        zones = {m.zone for m in self._state.members.values()}
        return frozenset(
            zone for zone in zones if zone != self._zone and self._is_cut(zone)
        )

    def _is_cut(self, zone: str) -> bool:
        state = self._state
        members = [
            m
            for m in state.members.values()
            if m.zone == zone and m.state is not views.MemberState.LEAVING
        ]
        times = [state.lost_at.get(m.name) for m in members]
        if len(members) < 2 or None in times:
            return False
        listed = any(m.name in state.listed for m in members)
        return listed and max(times) - min(times) <= CUT_WINDOW_S


def _as_cut(member: views.Member) -> views.Member:
    if member.state is views.MemberState.DEAD:
        return dataclasses.replace(member, state=views.MemberState.SUSPECT)
    return member
