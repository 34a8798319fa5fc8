"""Elects the holder of the failover duty, with a leased key in the store.

A host acquires the duty by writing the key with compare-and-swap. The key's
revision is the fencing token: it increases with each change of holder.
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

if TYPE_CHECKING:
    from collections.abc import Iterator

# Hosts try one after the other, so that a vacant duty causes few writes.
RANK_DELAY_S = 0.25
RETRY_AFTER_S = 1.0
# The lease is treated as expired this long before it can expire.
LEASE_MARGIN_S = 0.25
# A holder that reaches too few upstreams for this long releases the duty.
POOR_CONNECTIVITY_TIMEOUT_S = 1.5
RELEASE_COOLDOWN_S = 4.0


@dataclasses.dataclass(slots=True)
class ElectionState:
    """The failover duty as this host knows it.

    All times are in seconds on this host's clock.

    Attributes:
      is_known: Whether this host has read the duty key.
      holder: The duty key as stored, or None if no host holds the duty.
      vacant_revision: The revision of a duty key that no host holds, as another
        program left it; 0 if there is no such key.
      vacant_since: When this host learned that no host holds the duty.
      token: The revision of the duty key if this host holds it, otherwise 0.
      released: The revision of the duty key that this host gives up, or has
        given up last; 0 if there is none.
      held_since: When this host acquired the duty.
      next_attempt_at: The earliest time of the next attempt to acquire it.
      next_release_at: When a release that had no effect is repeated.
      last_well_connected_at: When this host last reached enough upstreams.
      lease: The id of this host's lease, 0 for none.
      valid_until: When the lease is treated as expired.
      stopping: Whether this host is shutting down.
    """

    is_known: bool = False
    holder: store_items.StoredKey | None = None
    vacant_revision: int = 0
    vacant_since: float = 0.0
    token: int = 0
    released: int = 0
    held_since: float = 0.0
    next_attempt_at: float = 0.0
    next_release_at: float = 0.0
    last_well_connected_at: float = 0.0
    lease: int = 0
    valid_until: float = 0.0
    stopping: bool = False


class Election(filters.Filter):
    """Acquires the duty when it is vacant and this host's turn has come."""

    def __init__(self, host_name: str) -> None:
        self._host_name = host_name
        self._state = ElectionState()
        self._hosts: frozenset[str] = frozenset((host_name,))
        self._cores: dict[str, float] = {}
        self._views: dict[str, replica_sets.ReplicaSetView] = {}

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields writes of the duty key, and this host's `DutyView`."""
        match item:
            case store_items.LeaseView():
                yield from self._update_lease(item)
                yield item
            case store_items.KeysListed():
                stored = item.keys.get(store_items.DUTY_KEY)
                yield from self._update_holder(stored, item.at)
                yield item
            case store_items.KeyChanged():
                if item.key == store_items.DUTY_KEY:
                    yield from self._update_holder(item.stored, item.at)
                yield item
            case store_items.LiveHostsView():
                self._hosts = item.names
                self._cores = {
                    name: info.cores for name, info in item.hosts.items()
                }
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

    def _update_lease(
        self, item: store_items.LeaseView
    ) -> Iterator[filters.Item]:
        state = self._state
        if item.lease != state.lease:
            state.lease = item.lease
            if state.token:
                yield from self._set_token(0, "", item.at)
        state.valid_until = item.valid_until - LEASE_MARGIN_S
        yield self._duty_view(item.at)

    def _update_holder(
        self, stored: store_items.StoredKey | None, now: float
    ) -> Iterator[filters.Item]:
        state = self._state
        state.vacant_revision = 0
        if stored is not None and not store_items.is_leased(stored):
            state.vacant_revision = stored.revision
            stored = None
        if stored is None and (state.holder is not None or not state.is_known):
            state.vacant_since = now
        state.is_known = True
        state.holder = stored
        is_own = (
            stored is not None
            and stored.value == self._host_name
            and state.lease != 0
            and stored.lease == state.lease
            and stored.revision != state.released
        )
        token = stored.revision if is_own else 0
        if token != state.token:
            holder = stored.value if stored else ""
            yield from self._set_token(token, holder, now)
        yield self._duty_view(now)

    def _set_token(
        self, token: int, holder: str, now: float
    ) -> Iterator[filters.Item]:
        state = self._state
        state.token = token
        state.held_since = now
        state.last_well_connected_at = now
        event = "duty_taken" if token else "duty_lost"
        details = {"token": token, "holder": holder}
        yield session_items.LogDecision(now, event, "", details)

    def _tick(self, now: float) -> Iterator[filters.Item]:
        state = self._state
        if self._is_well_connected():
            state.last_well_connected_at = now
        if (
            state.token
            and now - state.last_well_connected_at > POOR_CONNECTIVITY_TIMEOUT_S
        ):
            yield from self._release(now)
        elif self._is_release_lost(now):
            yield self._remove_key(now)
        elif self._may_acquire(now):
            state.next_attempt_at = now + RETRY_AFTER_S
            yield store_items.WriteKey(
                now,
                store_items.DUTY_KEY,
                self._host_name,
                state.lease,
                state.vacant_revision,
            )

    def _may_acquire(self, now: float) -> bool:
        state = self._state
        return (
            state.is_known
            and state.holder is None
            and not state.stopping
            and state.lease != 0
            and now < state.valid_until
            and now >= state.next_attempt_at
            and self._is_well_connected()
            and now >= state.vacant_since + self._rank_delay_s()
        )

    def _rank_delay_s(self) -> float:
        """Returns how long this host waits for the hosts ranked before it."""
        ranking = rendezvous.sort_by_weight(store_items.DUTY_KEY, self._hosts)
        # The holder also divides quotas, which all hosts ask it for.
        ranking.sort(key=lambda name: -self._cores.get(name, 0.0))
        return ranking.index(self._host_name) * RANK_DELAY_S

    def _release(self, now: float) -> Iterator[filters.Item]:
        state = self._state
        state.next_attempt_at = now + RELEASE_COOLDOWN_S
        details = {"unfit_s": now - state.last_well_connected_at}
        yield session_items.LogDecision(now, "duty_given_up", "", details)
        state.released = state.token
        yield self._remove_key(now)
        state.token = 0
        yield self._duty_view(now)

    def _remove_key(self, now: float) -> filters.Item:
        """Returns a write that removes the duty key which is given up."""
        state = self._state
        state.next_release_at = now + RETRY_AFTER_S
        return store_items.WriteKey(
            now, store_items.DUTY_KEY, None, 0, state.released
        )

    def _is_release_lost(self, now: float) -> bool:
        """Returns whether the key that was given up stands for too long."""
        state = self._state
        holder = state.holder
        is_standing = holder is not None and holder.revision == state.released
        return is_standing and now >= state.next_release_at

    def _is_well_connected(self) -> bool:
        """Returns whether this host reaches at least half of the upstreams."""
        members = [m for view in self._views.values() for m in view.members]
        failing = sum(member.failing_since is not None for member in members)
        return bool(members) and failing * 2 <= len(members)

    def _duty_view(self, now: float) -> store_items.DutyView:
        state = self._state
        return store_items.DutyView(
            now, state.token, state.held_since, state.valid_until
        )
