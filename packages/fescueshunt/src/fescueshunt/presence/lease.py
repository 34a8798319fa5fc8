"""Renews this host's lease and maintains the key that announces the host."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, hosts, process, store_items

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import identity

RENEW_INTERVAL_S = 0.35
RETRY_DELAY_S = 0.25
# The time in which a stopping host has the members confirm their primaries.
GIVE_UP_DELAY_S = 0.3


@dataclasses.dataclass(slots=True)
class LeaseState:
    """The state of this host's lease.

    Attributes:
      lease: the id of the lease; 0 if there is none.
      valid_until: the time until which the lease is certainly valid, on the
        local clock.
      ttl_s: the duration of a lease as the store states it, in seconds.
      due_at: when the next call to get or renew the lease is due.
      key_revision: the revision of this host's key under the lease; 0 if the
        key has not been written.
      key_read_back: whether this host has read its own key back, and so has
        also seen everything that was written before the key.
      stopping: whether this host is shutting down.
      give_up_at: when a stopping host gives up its lease; None before it stops
        and after it has given up.
    """

    lease: int = 0
    valid_until: float = 0.0
    ttl_s: float = store_items.LEASE_TTL_S
    due_at: float = 0.0
    key_revision: int = 0
    key_read_back: bool = False
    stopping: bool = False
    give_up_at: float | None = None


class HostLease(filters.Filter):
    """Requests and renews a lease, and writes this host's key under it.

    The validity of the lease is counted from when the call was sent, on a clock
    that continues while the host is suspended. The lease is therefore never
    considered valid for longer than it is.
    """

    def __init__(self, own_identity: identity.Identity) -> None:
        self._key_value = hosts.format_value(hosts.info_of(own_identity))
        self._key = store_items.HOSTS_PREFIX + own_identity.name
        self._state = LeaseState()
        self._lease_to_end = 0

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields calls for the lease and the key, and views of the lease."""
        match item:
            case filters.Tick():
                yield from self._tick(item.at)
                yield item
            case store_items.LeaseGranted():
                yield from self._record_grant(item)
            case store_items.LeaseLost():
                yield from self._clear(item)
            case store_items.LeaseCallFailed():
                self._state.due_at = item.at + RETRY_DELAY_S
            case store_items.KeyWritten() if item.key == self._key:
                yield from self._record_write(item)
            case store_items.KeyChanged() if item.key == self._key:
                yield from self._check_key(item.stored, item.revision, item.at)
                yield item
            case store_items.KeysListed():
                stored = item.keys.get(self._key)
                yield from self._check_key(stored, item.revision, item.at)
                yield item
            case process.StopAsked():
                yield from self._stop(item.at)
            case _:
                yield item

    def _tick(self, now: float) -> Iterator[filters.Item]:
        state = self._state
        if state.give_up_at is not None and now >= state.give_up_at:
            yield from self._give_up_to_stop(now)
        if state.stopping or now < state.due_at:
            return
        state.due_at = now + RENEW_INTERVAL_S
        if state.lease:
            yield store_items.RenewLease(now, state.lease)
        else:
            yield store_items.AskLease(now, store_items.LEASE_TTL_S)

    def _record_grant(
        self, item: store_items.LeaseGranted
    ) -> Iterator[filters.Item]:
        state = self._state
        if state.stopping:
            return
        if state.lease not in (0, item.lease):
            return
        is_new = state.lease != item.lease
        state.lease = item.lease
        state.ttl_s = item.ttl_s
        until = item.requested_at + item.ttl_s
        state.valid_until = max(state.valid_until, until)
        if is_new:
            state.valid_until = until
            yield store_items.WriteKey(
                item.at, self._key, self._key_value, item.lease, None
            )
        yield self._view(item.at)

    def _clear(self, item: store_items.LeaseLost) -> Iterator[filters.Item]:
        if item.lease != self._state.lease:
            return
        self._state.lease = 0
        self._state.valid_until = 0.0
        self._state.key_revision = 0
        self._state.key_read_back = False
        self._state.due_at = item.at
        yield store_items.LeaseView(item.at, 0, 0.0)

    def _record_write(
        self, item: store_items.KeyWritten
    ) -> Iterator[filters.Item]:
        if self._state.stopping:
            yield from self._end_lease(item.at)
        elif item.done:
            self._state.key_revision = item.revision
        elif self._state.lease:
            yield from self._give_up(item.at)
            self._state.due_at = item.at + RETRY_DELAY_S

    def _check_key(
        self,
        stored: store_items.StoredKey | None,
        revision: int,
        now: float,
    ) -> Iterator[filters.Item]:
        """Replaces the lease if its key is gone although the lease seems valid.

        Revisions before the key was written belong to an earlier lease and are
        ignored.
        """
        state = self._state
        if state.stopping:
            return
        if stored is not None and state.lease and stored.lease == state.lease:
            state.key_read_back = True
            yield self._view(now)
        written = state.key_revision
        if stored is None and written and revision > written:
            yield from self._give_up(now)

    def _give_up(self, now: float) -> Iterator[filters.Item]:
        lease = self._state.lease
        yield store_items.EndLease(now, lease)
        yield from self._clear(store_items.LeaseLost(now, lease))

    def _stop(self, now: float) -> Iterator[filters.Item]:
        """Limits a valid lease to the time until it is given up."""
        state = self._state
        if state.stopping:
            return
        state.stopping = True
        if not state.key_read_back or now >= state.valid_until:
            yield from self._give_up_to_stop(now)
            return
        state.give_up_at = now + GIVE_UP_DELAY_S
        state.valid_until = min(state.valid_until, state.give_up_at)
        yield self._view(now)

    def _give_up_to_stop(self, now: float) -> Iterator[filters.Item]:
        """Gives up the lease.

        From here on, this host confirms a primary by the status of members. Its
        key says so, as others would otherwise have to wait until its lease
        could have expired.
        """
        state = self._state
        state.give_up_at = None
        self._lease_to_end, state.lease = state.lease, 0
        yield store_items.LeaseView(now, 0, 0.0)
        if state.key_revision:
            yield store_items.WriteKey(
                now,
                self._key,
                store_items.STOPPING,
                self._lease_to_end,
                state.key_revision,
            )
        else:
            yield from self._end_lease(now)

    def _end_lease(self, now: float) -> Iterator[filters.Item]:
        """Ends the lease that a stopping host has given up."""
        lease, self._lease_to_end = self._lease_to_end, 0
        if lease:
            yield store_items.EndLease(now, lease)

    def _view(self, now: float) -> store_items.LeaseView:
        state = self._state
        until = state.valid_until if state.key_read_back else 0.0
        return store_items.LeaseView(now, state.lease, until, state.ttl_s)
