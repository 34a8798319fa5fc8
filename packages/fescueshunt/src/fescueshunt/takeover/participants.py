"""Which hosts a move of a primary still has to wait for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import leadership, store_items

if TYPE_CHECKING:
    from collections.abc import Mapping


class Participants:
    """Live hosts with their leases, hosts that went, acknowledgements.

    A host that went may have lost its key while it believes in its lease for
    another lease; so may one that went before this host looked.

    Attributes:
      ttl_s: how long a lease holds, the same for all hosts.
    """

    def __init__(self) -> None:
        self.ttl_s = store_items.LEASE_TTL_S
        self._leases: dict[str, int] = {}
        self._gone_at: dict[str, float] = {}
        self._acks: dict[tuple[str, str], int] = {}
        self._looked_at: float | None = None

    def list(self, item: store_items.KeysListed) -> None:
        """Takes over a whole listing."""
        if self._looked_at is None:
            self._looked_at = item.at
        listed = {store_items.host_from_key(key) for key in item.keys}
        for name in self._leases.keys() - listed:
            self._remove(name, item.at)
        for key, stored in item.keys.items():
            self._set(key, stored, item.at)

    def change(self, item: store_items.KeyChanged) -> None:
        """Takes over one change."""
        self._set(item.key, item.stored, item.at)

    def missing(self, database: str, revision: int) -> Mapping[str, int]:
        """Returns the live hosts that have not acknowledged, with leases."""
        return {
            name: lease
            for name, lease in self._leases.items()
            if self._acks.get((database, name), 0) < revision
        }

    def is_over(self, now: float) -> bool:
        """Tells whether no host that went can still believe in its lease."""
        if self._looked_at is None:
            return False
        last = max(self._gone_at.values(), default=self._looked_at)
        last = max(last, self._looked_at)
        return now - last > self.ttl_s

    def _set(
        self, key: str, stored: store_items.StoredKey | None, now: float
    ) -> None:
        host = store_items.host_from_key(key)
        if host and stored is None:
            self._remove(host, now)
        elif host:
            self._leases[host] = stored.lease
            self._gone_at.pop(host, None)
        elif key.startswith(leadership.ACKS_PREFIX):
            rest = key.removeprefix(leadership.ACKS_PREFIX)
            database, _, name = rest.rpartition("/")
            value = stored.value if stored is not None else ""
            revision = int(value) if value.isdecimal() else 0
            self._acks[(database, name)] = revision

    def _remove(self, name: str, now: float) -> None:
        if self._leases.pop(name, None) is not None:
            self._gone_at[name] = now
