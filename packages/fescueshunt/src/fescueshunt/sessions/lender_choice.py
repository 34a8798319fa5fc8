"""Chooses the host from which to borrow connections to an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import hosts, lenders, replica_sets

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from fescueshunt.core import routes, store_items

# A lender that was lost is not asked again for this long.
LOST_PAUSE_S = 1.0
# One that can't reach an upstream is not asked for it for this long.
UPSTREAM_PAUSE_S = 1.0
# Over what time hosts spread the opening of their links to a lender.
GREET_SPREAD_S = 3.0


class LenderChoice:
    """Knows which host lends the connections to each upstream."""

    def __init__(self, rng: random.Random, *, lends: bool) -> None:
        self._lends = lends
        self._rng = rng
        self._greeted: set[str] = set()
        self._greet_at: dict[str, float] = {}
        self._hosts: Mapping[str, hosts.HostInfo] = {}
        self._policies: Mapping[str, routes.ReplicaSetPolicy] = {}
        self._has_accounts = False
        self._chosen: dict[str, str] = {}
        self._lost_until: dict[str, float] = {}
        self._unfit_until: dict[str, float] = {}

    def set_hosts(self, view: store_items.LiveHostsView) -> None:
        """Replaces the live hosts."""
        self._hosts = view.hosts
        self._chosen.clear()

    def set_routes(self, view: routes.RoutesView) -> None:
        """Applies the connection limits and the accounts in force."""
        self._policies = view.databases
        self._has_accounts = view.accounts is not None

    def is_lent(self, database: str) -> bool:
        """Returns whether connections to the database's members are lent."""
        policy = self._policies.get(database)
        return (
            self._lends
            and policy is not None
            and lenders.lends_connections(
                policy, len(self._hosts), has_accounts=self._has_accounts
            )
        )

    def lender_of(
        self, entry: replica_sets.UpstreamEntry, now: float
    ) -> hosts.HostInfo | None:
        """Returns the lender of an upstream's connections.

        Returns None if they are not lent, or if the lender can't be used.
        """
        if not self.is_lent(entry.database):
            return None
        upstream = entry.upstream
        name = self._chosen.get(upstream)
        if name is None:
            name = lenders.choose_lender(
                upstream, entry.zone, self._hosts.values()
            )
            self._chosen[upstream] = name
        never = replica_sets.NEVER
        if now < max(
            self._lost_until.get(name, never),
            self._unfit_until.get(upstream, never),
        ):
            return None
        return self._hosts.get(name)

    def greet(
        self, entry: replica_sets.UpstreamEntry, now: float
    ) -> hosts.HostInfo | None:
        """Returns the lender of an upstream if its link is to be opened now.

        Hosts that start together open their links one after the other, as each
        takes the lender some time.
        """
        lender = self.lender_of(entry, now)
        if lender is None or lender.name in self._greeted:
            return None
        due_at = self._greet_at.get(lender.name)
        if due_at is None:
            delay_s = self._rng.uniform(0.0, GREET_SPREAD_S)
            self._greet_at[lender.name] = now + delay_s
            return None
        if now < due_at:
            return None
        self._greeted.add(lender.name)
        return lender

    def record_lost(self, lender: str, now: float) -> None:
        """Records that a lender could not be reached."""
        self._lost_until[lender] = now + LOST_PAUSE_S
        self._greeted.discard(lender)
        self._greet_at.pop(lender, None)

    def record_unfit(self, upstream: str, now: float) -> None:
        """Records that the lender of an upstream could not reach it."""
        self._unfit_until[upstream] = now + UPSTREAM_PAUSE_S
