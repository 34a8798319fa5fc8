"""Filter that discovers proxies from the platform's list of hosts.

The list lags behind, and may be empty or outdated. An entry is therefore only
a candidate to probe, and a missing entry does not mean that a proxy is gone.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, views
from fescueshunt.core import items as core_items
from fescueshunt.members import items

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

READ_INTERVAL_S = 2.0


@dataclasses.dataclass(slots=True)
class HostListReaderState:
    """State of the filter.

    Attributes:
      last_read_at: when the list was last requested; local clock, seconds.
      seeds_offered: whether the seeds have been yielded as candidates.
      known_members: the members in the newest fleet view, by name.
    """

    last_read_at: float = float("-inf")
    seeds_offered: bool = False
    leaving: frozenset[str] = frozenset()
    known_members: dict[str, views.Member] = dataclasses.field(
        default_factory=dict
    )


class HostListReader(filters.Filter):
    """Yields candidates from the list of hosts and the configured seeds."""

    def __init__(self, seeds: Sequence[str]) -> None:
        self._seeds = tuple(seeds)
        self._state = HostListReaderState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields list reads, candidates, and claims about leaving hosts."""
        match item:
            case core_items.HostsRead():
                yield from self._handle_hosts_read(item)
            case views.FleetView():
                self._state.known_members = {m.name: m for m in item.members}
                yield item
            case filters.Tick():
                yield from self._handle_tick(item.at)
                yield item
            case _:
                yield item

    def _handle_tick(self, now: float) -> Iterator[filters.Item]:
        if not self._state.seeds_offered:
            self._state.seeds_offered = True
            for address in self._seeds:
                yield items.ProxyCandidate(now, "", address)
        if now - self._state.last_read_at >= READ_INTERVAL_S:
            self._state.last_read_at = now
            yield core_items.ReadHosts(now)

    def _handle_hosts_read(
        self, item: core_items.HostsRead
    ) -> Iterator[filters.Item]:
        names = frozenset(host.name for host in item.hosts)
        yield items.HostListReceived(item.at, names)
        for host in item.hosts:
            known_member = self._state.known_members.get(host.name)
            if (
                known_member is None
                or known_member.state is views.MemberState.DEAD
            ):
                yield items.ProxyCandidate(item.at, host.name, host.address)
            elif host.leaving:
                yield _leaving_claim(known_member, item.at)


def _leaving_claim(member: views.Member, now: float) -> items.MemberClaimed:
    leaving = dataclasses.replace(member, state=views.MemberState.LEAVING)
    return items.MemberClaimed(now, leaving, items.ClaimSource.LIST)
