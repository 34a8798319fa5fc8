"""Which hosts a move of a primary still has to wait for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import leadership, session_items

if TYPE_CHECKING:
    from collections.abc import Mapping


class Audience:
    """Live hosts with their leases, hosts that went, acknowledgements.

    A host that went may have lost its key while it believes in its lease for
    another lease; so may one that went before this host looked.

    Attributes:
      ttl_s: how long a lease holds, the same for all hosts.
    """

    def __init__(self) -> None:
        self.ttl_s = session_items.LEASE_TTL_S
        self._leases: dict[str, int] = {}
        self._gone_at: dict[str, float] = {}
        self._acks: dict[tuple[str, str], int] = {}
        self._looked_at: float | None = None

    def list(self, item: session_items.KeysListed) -> None:
        """Takes over a whole listing."""
        if self._looked_at is None:
            self._looked_at = item.at
        hosts = {
            key: stored
            for key, stored in item.keys.items()
            if key.startswith(session_items.HOSTS_PREFIX)
        }
        for name in list(self._leases):
            if session_items.HOSTS_PREFIX + name not in hosts:
                self._remove(name, item.at)
        for key, stored in item.keys.items():
            self._set(key, stored, item.at)

    def change(self, item: session_items.KeyChanged) -> None:
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
        self, key: str, stored: session_items.StoredKey | None, now: float
    ) -> None:
        if key.startswith(session_items.HOSTS_PREFIX):
            name = key.removeprefix(session_items.HOSTS_PREFIX)
            if stored is None:
                self._remove(name, now)
            else:
                self._leases[name] = stored.lease
                self._gone_at.pop(name, None)
        elif key.startswith(leadership.ACKS_PREFIX):
            rest = key.removeprefix(leadership.ACKS_PREFIX)
            database, _, name = rest.rpartition("/")
            value = stored.value if stored is not None else ""
            revision = int(value) if value.isdecimal() else 0
            self._acks[(database, name)] = revision

    def _remove(self, name: str, now: float) -> None:
        if self._leases.pop(name, None) is not None:
            self._gone_at[name] = now
