"""Keeps the lease of this host, and the key by which others find it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, process, store_items

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import identity

RENEW_EVERY_S = 0.35
RETRY_AFTER_S = 0.25


@dataclasses.dataclass(slots=True)
class LeaseState:
    """The lease of this host.

    Attributes:
      lease: its number, 0 for none.
      valid_until: it certainly holds until then; local clock.
      ttl_s: how long a lease holds, by the store's own word.
      due_at: when the next call for it is due.
      key_revision: of this host's key under the lease, 0 if not written yet.
      is_known: whether this host has read its key back, and so knows whatever
        was written before.
    """

    lease: int = 0
    valid_until: float = 0.0
    ttl_s: float = store_items.LEASE_TTL_S
    due_at: float = 0.0
    key_revision: int = 0
    is_known: bool = False
    leaving: bool = False


class HostLease(filters.Filter):
    """Asks for a lease, renews it, and writes this host's key under it.

    The lease counts from when the call was sent, on a clock that goes on while
    the host is suspended, so it never seems to hold longer than it does.
    """

    def __init__(self, me: identity.Identity) -> None:
        self._me = me
        self._key = store_items.HOSTS_PREFIX + me.name
        self._state = LeaseState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields calls for the lease, and what is known of it."""
        match item:
            case filters.Tick():
                yield from self._tick(item.at)
                yield item
            case store_items.LeaseGranted():
                yield from self._granted(item)
            case store_items.LeaseLost():
                yield from self._lost(item)
            case store_items.LeaseCallFailed():
                self._state.due_at = item.at + RETRY_AFTER_S
            case store_items.KeyWritten() if item.key == self._key:
                yield from self._written(item)
            case store_items.KeyChanged() if item.key == self._key:
                yield from self._check_key(item.stored, item.revision, item.at)
                yield item
            case store_items.KeysListed():
                stored = item.keys.get(self._key)
                yield from self._check_key(stored, item.revision, item.at)
                yield item
            case process.StopAsked():
                yield from self._leave(item.at)
            case _:
                yield item

    def _tick(self, now: float) -> Iterator[filters.Item]:
        state = self._state
        if state.leaving or now < state.due_at:
            return
        state.due_at = now + RENEW_EVERY_S
        if state.lease:
            yield store_items.RenewLease(now, state.lease)
        else:
            yield store_items.AskLease(now, store_items.LEASE_TTL_S)

    def _granted(
        self, item: store_items.LeaseGranted
    ) -> Iterator[filters.Item]:
        state = self._state
        if state.leaving:
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
                item.at, self._key, self._me.zone, item.lease, None
            )
        yield self._view(item.at)

    def _lost(self, item: store_items.LeaseLost) -> Iterator[filters.Item]:
        if item.lease != self._state.lease:
            return
        self._state.lease = 0
        self._state.valid_until = 0.0
        self._state.key_revision = 0
        self._state.is_known = False
        self._state.due_at = item.at
        yield store_items.LeaseView(item.at, 0, 0.0)

    def _written(self, item: store_items.KeyWritten) -> Iterator[filters.Item]:
        if item.done:
            self._state.key_revision = item.revision
        elif self._state.lease and not self._state.leaving:
            yield from self._renounce(item.at)
            self._state.due_at = item.at + RETRY_AFTER_S

    def _check_key(
        self,
        stored: store_items.StoredKey | None,
        revision: int,
        now: float,
    ) -> Iterator[filters.Item]:
        """Takes a new lease when the key went though the lease seems to hold.

        News from before the key was written tells of an earlier lease.
        """
        state = self._state
        if stored is not None and state.lease and stored.lease == state.lease:
            state.is_known = True
            yield self._view(now)
        written = state.key_revision
        if stored is None and written and revision > written:
            yield from self._renounce(now)

    def _renounce(self, now: float) -> Iterator[filters.Item]:
        lease = self._state.lease
        yield store_items.EndLease(now, lease)
        yield from self._lost(store_items.LeaseLost(now, lease))

    def _leave(self, now: float) -> Iterator[filters.Item]:
        self._state.leaving = True
        if self._state.lease:
            yield store_items.EndLease(now, self._state.lease)
        self._state.lease = 0
        yield store_items.LeaseView(now, 0, 0.0)

    def _view(self, now: float) -> store_items.LeaseView:
        state = self._state
        until = state.valid_until if state.is_known else 0.0
        return store_items.LeaseView(now, state.lease, until, state.ttl_s)
