"""The platform's key-value store in memory, with leases and a history."""

from __future__ import annotations

import dataclasses
import itertools

from fescueshunt.core import store_items


@dataclasses.dataclass(slots=True)
class KeyValues:
    """Keys, leases and every change, in the order of their revisions."""

    keys: dict[str, store_items.StoredKey] = dataclasses.field(
        default_factory=dict
    )
    leases: dict[int, float] = dataclasses.field(default_factory=dict)
    ttls: dict[int, float] = dataclasses.field(default_factory=dict)
    changes: list[tuple[int, str, store_items.StoredKey | None]] = (
        dataclasses.field(default_factory=list)
    )
    revision: int = 10
    numbers: itertools.count = dataclasses.field(
        default_factory=lambda: itertools.count(100)
    )

    def grant(self, ttl_s: float, now: float) -> int:
        """Grants a lease and returns its number."""
        lease = next(self.numbers)
        self.leases[lease] = now + ttl_s
        self.ttls[lease] = ttl_s
        return lease

    def renew(self, lease: int, now: float) -> bool:
        """Renews a lease; False if it has ended."""
        if lease not in self.leases:
            return False
        self.leases[lease] = now + self.ttls[lease]
        return True

    def end(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        if self.leases.pop(lease, None) is None:
            return
        for key, stored in list(self.keys.items()):
            if stored.lease == lease:
                self._put(key, None)

    def expire(self, now: float) -> None:
        """Ends the leases whose time is over."""
        for lease, until in list(self.leases.items()):
            if now >= until:
                self.end(lease)

    def revoke(self, lease: int) -> None:
        """Takes the keys of a lease away while the lease seems to hold."""
        for key, stored in list(self.keys.items()):
            if stored.lease == lease:
                self._put(key, None)

    def write(self, item: store_items.WriteKey) -> tuple[bool, int]:
        """Writes a key; returns whether it was done, and the revision."""
        known = self.keys.get(item.key)
        revision = known.revision if known else 0
        if item.expected is not None and item.expected != revision:
            return False, 0
        if item.lease and item.lease not in self.leases:
            return False, 0
        if item.value is None:
            if known is not None:
                self._put(item.key, None)
            return True, self.revision
        stored = store_items.StoredKey(
            item.value, self.revision + 1, item.lease
        )
        self._put(item.key, stored)
        return True, self.revision

    def _put(self, key: str, stored: store_items.StoredKey | None) -> None:
        self.revision += 1
        if stored is None:
            self.keys.pop(key, None)
        else:
            self.keys[key] = stored
        self.changes.append((self.revision, key, stored))
