"""Waits until no host relies on a primary that is being replaced.

Each live host acknowledges the announced change. A host that does not in time
loses its lease, and with it the right to rely on the record of the primary.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import store_items

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from fescueshunt.core import filters
    from fescueshunt.takeover import participants

# The lease of a host that has not acknowledged by then is revoked.
REVOKE_LEASES_AFTER_S = 0.5


class Acknowledgements:
    """The acknowledgements of one announced change of primary.

    Attributes:
      announcement: The revision of the record that announces it.
    """

    def __init__(self, database: str) -> None:
        self.announcement = 0
        self._database = database
        self._are_leases_revoked = False

    def are_complete(
        self, hosts: participants.Participants, now: float
    ) -> bool:
        """Returns whether no host relies on the old primary any more."""
        all_acknowledged = not self._missing(hosts)
        return all_acknowledged and hosts.have_removed_leases_expired(now)

    def revoke_late(
        self, elapsed_s: float, hosts: participants.Participants, now: float
    ) -> Iterator[filters.Item]:
        """Revokes the leases of the hosts that are late, once per change.

        Args:
          elapsed_s: the seconds since the wait began.
          hosts: the live hosts and their acknowledgements.
          now: the current time; local clock, seconds.
        """
        if self._are_leases_revoked or elapsed_s <= REVOKE_LEASES_AFTER_S:
            return
        for lease in self._missing(hosts).values():
            self._are_leases_revoked = True
            yield store_items.EndLease(now, lease)

    def _missing(self, hosts: participants.Participants) -> Mapping[str, int]:
        """Returns the leases of the hosts that have not acknowledged."""
        return hosts.unacknowledged(self._database, self.announcement)
