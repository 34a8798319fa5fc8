"""Simulated replica set: fake upstreams in zones, and replication."""

from __future__ import annotations

from fescueshunt.core import document, request, upstream
from lib import fake_upstreams, simulated_network, simulated_settings

REPLICATION_INTERVAL_S = simulated_network.HOP_DELAY_S * 2


class SimulatedReplicaSet:
    """The upstreams of a database; the first one starts as the primary.

    Attributes:
      upstreams: the fake upstreams by name.
    """

    def __init__(
        self,
        network: simulated_network.SimulatedNetwork,
        database: document.Database,
    ) -> None:
        self._network = network
        self._zones = {u.name: u.zone for u in database.upstreams}
        self.upstreams = {
            u.name: fake_upstreams.FakeUpstream(
                u.name, n == 0, simulated_settings.SCHEMA
            )
            for n, u in enumerate(database.upstreams)
        }
        for replica in self.upstreams.values():
            replica.follows = database.upstreams[0].name

    def primary(self) -> fake_upstreams.FakeUpstream:
        """Returns the primary with the highest term."""
        primaries = (
            fake
            for fake in self.upstreams.values()
            if fake.engine.role is upstream.Role.PRIMARY
        )
        return max(primaries, key=lambda fake: fake.engine.term)

    def rows(self) -> list[str]:
        """Returns all tags in the table of the newest primary."""
        select = request.Statement("SELECT tag FROM hit ORDER BY rowid")
        (result,) = self.primary().engine.read((select,))
        return [row[0] for row in result.rows]

    def is_reachable(self, name: str, zone: str) -> bool:
        """Returns whether no partition separates an upstream from a zone."""
        return not self._network.is_partitioned(zone, self._zones[name])

    def start_replication(self) -> None:
        """Replicates now, and at each interval from then on."""
        for replica in self.upstreams.values():
            replica.expire(self._network.now)
            self._replicate_to(replica)
        self._network.call_later(REPLICATION_INTERVAL_S, self.start_replication)

    def _replicate_to(self, replica: fake_upstreams.FakeUpstream) -> None:
        """Applies the log of the upstream that a replica follows."""
        primary = self.upstreams.get(replica.follows)
        if primary is None or not replica.is_replicating:
            return
        if not (replica.alive and primary.alive):
            return
        if not self.is_reachable(replica.name, self._zones[primary.name]):
            return
        term = replica.engine.term
        entries = primary.engine.entries_after(term, replica.engine.history)
        replica.engine.apply_log(term, entries)
        replica.answer_waiting_calls()
