"""The platform's list of hosts, as candidates and as notices of leaving.

The list lags, may be empty and may be old. So an entry is only a candidate to
probe, and an absent one is no evidence that a proxy is gone.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, views
from fescueshunt.core import items as core_items
from fescueshunt.members import items

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

READ_EVERY_S = 2.0


@dataclasses.dataclass(slots=True)
class ListedState:
    """What the filter remembers."""

    read_at: float = float("-inf")
    offered_seeds: bool = False
    leaving: frozenset[str] = frozenset()
    known: dict[str, views.Member] = dataclasses.field(default_factory=dict)


class Listed(filters.Filter):
    """Turns the list, and the seeds of the settings, into candidates."""

    def __init__(self, seeds: Sequence[str]) -> None:
        self._seeds = tuple(seeds)
        self._state = ListedState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields reads of the list, candidates and notices of leaving."""
        match item:
            case core_items.HostsRead():
                yield from self._read(item)
            case views.FleetView():
                self._state.known = {m.name: m for m in item.members}
                yield item
            case filters.Tick():
                yield from self._tick(item.at)
                yield item
            case _:
                yield item

    def _tick(self, now: float) -> Iterator[filters.Item]:
        if not self._state.offered_seeds:
            self._state.offered_seeds = True
            for address in self._seeds:
                yield items.Candidate(now, "", address)
        if now - self._state.read_at >= READ_EVERY_S:
            self._state.read_at = now
            yield core_items.ReadHosts(now)

    def _read(self, item: core_items.HostsRead) -> Iterator[filters.Item]:
        names = frozenset(host.name for host in item.hosts)
        yield items.ListSeen(item.at, names)
        for host in item.hosts:
            known = self._state.known.get(host.name)
            if known is None or known.state is views.MemberState.DEAD:
                yield items.Candidate(item.at, host.name, host.address)
            elif host.leaving:
                yield _leaving(known, item.at)


def _leaving(member: views.Member, now: float) -> items.Claimed:
    leaving = dataclasses.replace(member, state=views.MemberState.LEAVING)
    return items.Claimed(now, leaving, items.Evidence.LIST)
