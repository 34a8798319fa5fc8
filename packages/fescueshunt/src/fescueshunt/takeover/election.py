"""Holds the failover duty: a leased key, taken by compare-and-swap.

The key's revision is the fencing token: it grows with each change of holder.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    process,
    rendezvous,
    replica_sets,
    session_items,
    store_items,
)
from fescueshunt.takeover import items

if TYPE_CHECKING:
    from collections.abc import Iterator

# Hosts try one after the other, so that a free duty costs few writes.
TURN_S = 0.25
RETRY_AFTER_S = 1.0
# The lease is given up this long before it may end.
MARGIN_S = 0.25
# A holder that reaches too few upstreams for this long gives the duty up.
UNFIT_AFTER_S = 1.5
ABSTAIN_S = 4.0


@dataclasses.dataclass(slots=True)
class ElectionState:
    """The duty as this host knows it.

    Attributes:
      holder: the key, or None if nobody holds it; `known` once it was read.
      free_since: since when nobody holds it.
      token: the revision of the key if this host holds it, else 0.
      try_after: no attempt before.
    """

    known: bool = False
    holder: store_items.StoredKey | None = None
    free_since: float = 0.0
    token: int = 0
    held_since: float = 0.0
    try_after: float = 0.0
    fit_at: float = 0.0
    lease: int = 0
    valid_until: float = 0.0
    stopping: bool = False


class Election(filters.Filter):
    """Takes the duty when it is free and this host's turn has come."""

    def __init__(self, me: str) -> None:
        self._me = me
        self._state = ElectionState()
        self._hosts: frozenset[str] = frozenset((me,))
        self._views: dict[str, replica_sets.ReplicaSetView] = {}

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields attempts, and whether the duty is held."""
        match item:
            case store_items.LeaseView():
                yield from self._lease(item)
                yield item
            case store_items.KeysListed():
                held = item.keys.get(store_items.DUTY_KEY)
                yield from self._see(held, item.at)
                yield item
            case store_items.KeyChanged():
                if item.key == store_items.DUTY_KEY:
                    yield from self._see(item.stored, item.at)
                yield item
            case store_items.LiveHostsView():
                self._hosts = item.names
                yield item
            case replica_sets.ReplicaSetView():
                self._views[item.database] = item
                yield item
            case process.StopAsked():
                self._state.stopping = True
                yield item
            case filters.Tick():
                yield from self._tick(item.at)
                yield item
            case _:
                yield item

    def _lease(self, item: store_items.LeaseView) -> Iterator[filters.Item]:
        state = self._state
        if item.lease != state.lease:
            state.lease = item.lease
            state.token = 0
        state.valid_until = item.valid_until - MARGIN_S
        yield self._view(item.at)

    def _see(
        self, held: store_items.StoredKey | None, now: float
    ) -> Iterator[filters.Item]:
        state = self._state
        if held is None and (state.holder is not None or not state.known):
            state.free_since = now
        state.known = True
        state.holder = held
        mine = (
            held is not None
            and held.value == self._me
            and state.lease != 0
            and held.lease == state.lease
        )
        token = held.revision if mine else 0
        if token != state.token:
            state.token = token
            state.held_since = now
            state.fit_at = now
            event = "duty_taken" if token else "duty_lost"
            details = {"token": token, "holder": held.value if held else ""}
            yield session_items.LogDecision(now, event, "", details)
        yield self._view(now)

    def _tick(self, now: float) -> Iterator[filters.Item]:
        state = self._state
        if self._is_fit():
            state.fit_at = now
        if state.token and now - state.fit_at > UNFIT_AFTER_S:
            yield from self._give_up(now)
        elif self._may_try(now):
            state.try_after = now + RETRY_AFTER_S
            yield store_items.WriteKey(
                now, store_items.DUTY_KEY, self._me, state.lease, 0
            )

    def _may_try(self, now: float) -> bool:
        state = self._state
        return (
            state.known
            and state.holder is None
            and not state.stopping
            and state.lease != 0
            and now < state.valid_until
            and now >= state.try_after
            and self._is_fit()
            and now >= state.free_since + self._turn_s()
        )

    def _turn_s(self) -> float:
        """Returns how long a free duty is left to the hosts before this one."""
        ranked = rendezvous.sort_by_weight(store_items.DUTY_KEY, self._hosts)
        return ranked.index(self._me) * TURN_S

    def _give_up(self, now: float) -> Iterator[filters.Item]:
        state = self._state
        state.try_after = now + ABSTAIN_S
        details = {"unfit_s": now - state.fit_at}
        yield session_items.LogDecision(now, "duty_given_up", "", details)
        yield store_items.WriteKey(
            now, store_items.DUTY_KEY, None, 0, state.token
        )
        state.token = 0
        yield self._view(now)

    def _is_fit(self) -> bool:
        """Tells whether this host reaches most upstreams."""
        members = [m for view in self._views.values() for m in view.members]
        failing = sum(member.failing_since is not None for member in members)
        return bool(members) and failing * 2 <= len(members)

    def _view(self, now: float) -> items.DutyView:
        state = self._state
        return items.DutyView(
            now, state.token, state.held_since, state.valid_until
        )
