"""In-memory key-value store of the platform stand-in, with leases."""

from __future__ import annotations

import dataclasses
import itertools

from fescueshunt.core import store_items


@dataclasses.dataclass(slots=True)
class KeyValueStore:
    """Keys, leases and the history of changes.

    Attributes:
      keys: the stored keys by name.
      lease_expiries: the expiry time of each lease by lease id, in seconds.
      lease_ttls_s: the time to live of each lease by lease id, in seconds.
      changes: every change as (revision, key, stored key or None if deleted),
        in the order of the revisions.
      revision: the revision of the latest change.
      lease_ids: the source of lease ids.
    """

    keys: dict[str, store_items.StoredKey] = dataclasses.field(
        default_factory=dict
    )
    lease_expiries: dict[int, float] = dataclasses.field(default_factory=dict)
    lease_ttls_s: dict[int, float] = dataclasses.field(default_factory=dict)
    changes: list[tuple[int, str, store_items.StoredKey | None]] = (
        dataclasses.field(default_factory=list)
    )
    revision: int = 10
    lease_ids: itertools.count = dataclasses.field(
        default_factory=lambda: itertools.count(100)
    )

    def grant_lease(self, ttl_s: float, now: float) -> int:
        """Grants a lease and returns its id."""
        lease = next(self.lease_ids)
        self.lease_expiries[lease] = now + ttl_s
        self.lease_ttls_s[lease] = ttl_s
        return lease

    def renew_lease(self, lease: int, now: float) -> bool:
        """Renews a lease and returns True; returns False if it has ended."""
        if lease not in self.lease_expiries:
            return False
        self.lease_expiries[lease] = now + self.lease_ttls_s[lease]
        return True

    def end_lease(self, lease: int) -> None:
        """Ends a lease and deletes its keys."""
        if self.lease_expiries.pop(lease, None) is None:
            return
        for key, stored in list(self.keys.items()):
            if stored.lease == lease:
                self._put(key, None)

    def expire_leases(self, now: float) -> None:
        """Ends the leases that have expired by `now`."""
        for lease, expires_at in list(self.lease_expiries.items()):
            if now >= expires_at:
                self.end_lease(lease)

    def delete_lease_keys(self, lease: int) -> None:
        """Deletes the keys of a lease while the lease itself stays valid.

        The holder can still renew the lease.
        """
        for key, stored in list(self.keys.items()):
            if stored.lease == lease:
                self._put(key, None)

    def write(self, item: store_items.WriteKey) -> tuple[bool, int]:
        """Writes or deletes a key.

        Returns:
          Whether the write took place, and the revision of the store after it.
          The write fails, and the revision is 0, if an expected revision does
          not match or the lease has ended.
        """
        current = self.keys.get(item.key)
        if item.expected not in (None, self._revision_of(item.key)):
            return False, 0
        guard = item.guard
        if guard is not None and guard.revision != self._revision_of(guard.key):
            return False, 0
        if item.lease and item.lease not in self.lease_expiries:
            return False, 0
        if item.value is None:
            if current is not None:
                self._put(item.key, None)
            return True, self.revision
        stored = store_items.StoredKey(
            item.value, self.revision + 1, item.lease
        )
        self._put(item.key, stored)
        return True, self.revision

    def _revision_of(self, key: str) -> int:
        stored = self.keys.get(key)
        return stored.revision if stored is not None else 0

    def _put(self, key: str, stored: store_items.StoredKey | None) -> None:
        self.revision += 1
        if stored is None:
            self.keys.pop(key, None)
        else:
            self.keys[key] = stored
        self.changes.append((self.revision, key, stored))
