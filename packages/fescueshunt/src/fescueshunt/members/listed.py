"""The listed fleet: the platform's list of hosts joined with this proxy."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, identity, views
from fescueshunt.core import items as core_items

if TYPE_CHECKING:
    from collections.abc import Iterator

READ_EVERY_S = 1.0


@dataclasses.dataclass(slots=True)
class ListedState:
    """What the filter remembers."""

    view: views.FleetView
    read_at: float = float("-inf")


class Listed(filters.Filter):
    """Publishes the fleet view whenever the list of hosts changes it."""

    def __init__(self, me: identity.Identity) -> None:
        self._me = views.Member(me.name, me.zone, me.address, me.incarnation)
        self._state = ListedState(views.FleetView(0.0, ()))

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields fleet views and reads of the list."""
        match item:
            case core_items.HostsRead():
                yield from self._join(item)
            case filters.Tick():
                if item.at - self._state.read_at >= READ_EVERY_S:
                    self._state.read_at = item.at
                    yield core_items.ReadHosts(item.at)
                yield item
            case _:
                yield item

    def _join(self, item: core_items.HostsRead) -> Iterator[filters.Item]:
        others = (
            _member(host) for host in item.hosts if host.name != self._me.name
        )
        members = tuple(
            sorted((self._me, *others), key=lambda member: member.name)
        )
        if members == self._state.view.members:
            return
        self._state.view = views.FleetView(item.at, members)
        yield self._state.view


def _member(host: core_items.Host) -> views.Member:
    state = views.MemberState.LIVE
    if host.leaving:
        state = views.MemberState.LEAVING
    return views.Member(host.name, host.zone, host.address, 0, state)
