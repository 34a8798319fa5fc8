"""Tracks which hosts a primary change must still wait for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import digits, leadership, store_items

if TYPE_CHECKING:
    from collections.abc import Mapping


class Participants:
    """The leases of live hosts, removed hosts, and acknowledgements.

    A host whose key was removed may rely on its lease for up to one more TTL,
    unless the key said that the host stops. The same is true of a host whose
    key was removed before the first listing.

    Attributes:
      ttl_s: The lease TTL in seconds, the same for all hosts.
    """

    def __init__(self) -> None:
        self.ttl_s = store_items.LEASE_TTL_S
        self._leases: dict[str, int] = {}
        self._removed_at: dict[str, float] = {}
        self._acks: dict[tuple[str, str], int] = {}
        self._first_listed_at: float | None = None

    def load(self, item: store_items.KeysListed) -> None:
        """Applies a listing of all keys."""
        if self._first_listed_at is None:
            self._first_listed_at = item.at
        listed = {store_items.host_from_key(key) for key in item.keys}
        for host_name in self._leases.keys() - listed:
            self._remove_host(host_name, item.at)
        for key, stored in item.keys.items():
            self._apply_key(key, stored, item.at)

    def apply_change(self, item: store_items.KeyChanged) -> None:
        """Applies the change of one key."""
        self._apply_key(item.key, item.stored, item.at)

    def unacknowledged(
        self, database: str, announcement: int
    ) -> Mapping[str, int]:
        """Returns the leases of live hosts that have not acknowledged.

        Args:
          database: The database whose primary is being replaced.
          announcement: The revision of the record that announces the change.
        """
        return {
            host_name: lease
            for host_name, lease in self._leases.items()
            if self._acks.get((database, host_name), 0) < announcement
        }

    def have_removed_leases_expired(self, now: float) -> bool:
        """Returns whether no removed host can still rely on its lease."""
        if self._first_listed_at is None:
            return False
        last_change_at = max(
            self._removed_at.values(), default=self._first_listed_at
        )
        last_change_at = max(last_change_at, self._first_listed_at)
        return now - last_change_at > self.ttl_s

    def _apply_key(
        self, key: str, stored: store_items.StoredKey | None, now: float
    ) -> None:
        host = store_items.host_from_key(key)
        if host and not store_items.is_leased(stored):
            self._remove_host(host, now)
        elif host and stored.value == store_items.STOPPING:
            self._leases.pop(host, None)
        elif host:
            self._leases[host] = stored.lease
            self._removed_at.pop(host, None)
        elif key.startswith(leadership.ACKS_PREFIX):
            database, acknowledging_host = leadership.parse_ack_key(key)
            value = stored.value if stored is not None else ""
            announcement = digits.parse_number(value) or 0
            self._acks[(database, acknowledging_host)] = announcement

    def _remove_host(self, host_name: str, now: float) -> None:
        if self._leases.pop(host_name, None) is not None:
            self._removed_at[host_name] = now
