"""Simulated connections of proxies to upstreams, and the calls on them."""

from __future__ import annotations

import dataclasses
import itertools

from fescueshunt import errors
from fescueshunt.core import items, upstream
from lib import (
    fake_upstreams,
    simulated_network,
    simulated_proxy,
    simulated_replica_set,
)


@dataclasses.dataclass(slots=True)
class Connection:
    """A connection of a proxy to an upstream.

    Attributes:
      session_id: the number of the session at the fake upstream.
      source: the proxy that opened the connection.
      conn: the connection's number at the proxy.
      fake: the upstream.
      call_id: the number of the call in flight, or 0 if there is none.
      last_arrival_at: when the newest call arrives at the upstream, virtual
        time in seconds.
    """

    session_id: int
    source: simulated_proxy.Proxy
    conn: int
    fake: fake_upstreams.FakeUpstream
    call_id: int = 0
    last_arrival_at: float = 0.0


class SimulatedConnections:
    """Opens and closes connections, and runs calls on them.

    What happens to a connection is fed as an item to the proxy that opened it.
    """

    def __init__(
        self,
        network: simulated_network.SimulatedNetwork,
        replica_set: simulated_replica_set.SimulatedReplicaSet,
        feed: simulated_proxy.Feed,
    ) -> None:
        self._network = network
        self._replica_set = replica_set
        self._feed = feed
        self._connections: dict[tuple[int, int], Connection] = {}
        self._session_ids = itertools.count(1)
        self._call_ids = itertools.count(1)

    def count(self, upstream_name: str) -> int:
        """Returns the number of open connections to an upstream."""
        return sum(
            connection.fake.name == upstream_name
            for connection in self._connections.values()
        )

    def break_busy(self) -> int:
        """Breaks all connections with a call in flight; returns the number."""
        busy = [c for c in self._connections.values() if c.call_id]
        for connection in busy:
            self._fail(connection, errors.ConnectionLostError("cut"))
        return len(busy)

    def open(
        self, source: simulated_proxy.Proxy, effect: items.OpenUpstream
    ) -> None:
        """Opens a connection, or feeds a failure if the upstream is away."""
        fake = self._replica_set.upstreams[effect.upstream]
        if not (fake.alive and self._can_reach(source, fake)):
            error = errors.ConnectionLostError(fake.name)
            failed = items.UpstreamFailed(self._network.now, effect.conn, error)
            self._network.call_later(
                self._network.hop_s(), lambda: self._feed(source, failed)
            )
            return
        connection = Connection(
            next(self._session_ids), source, effect.conn, fake
        )
        self._connections[id(source), effect.conn] = connection

        def report_opened() -> None:
            opened = items.UpstreamOpened(self._network.now, effect.conn)
            self._feed(source, opened)

        self._network.call_later(self._network.hop_s(), report_opened)

    def close(self, source: simulated_proxy.Proxy, conn: int) -> None:
        """Closes a connection if it is open."""
        connection = self._connections.get((id(source), conn))
        if connection is not None:
            self._close(connection)

    def close_all(self, source: simulated_proxy.Proxy) -> None:
        """Closes all connections of a proxy."""
        for connection in list(self._connections.values()):
            if connection.source is source:
                self._close(connection)

    def run_call(
        self, source: simulated_proxy.Proxy, effect: items.RunUpstream
    ) -> None:
        """Runs a call on a connection, which fails if no reply comes in time.

        A call on a connection that is not open is ignored.
        """
        connection = self._connections.get((id(source), effect.conn))
        if connection is None:
            return
        call_id = next(self._call_ids)
        connection.call_id = call_id

        def on_reply(reply: upstream.Reply) -> None:
            if not self._can_reach(connection.source, connection.fake):
                return
            for delay_s in self._network.delivery_delays(reply):
                self._network.call_later(
                    delay_s,
                    lambda: self._deliver_reply(connection, call_id, reply),
                )

        def execute() -> None:
            fake = connection.fake
            if fake.alive and self._can_reach(connection.source, fake):
                fake.execute(connection.session_id, effect.call, on_reply)

        for delay_s in self._network.delivery_delays(effect.call)[:1]:
            connection.last_arrival_at = self._network.now + delay_s
            self._network.call_later(delay_s, execute)
        self._network.call_later(
            max(effect.timeout_s, simulated_network.HOP_DELAY_S),
            lambda: self._time_out(connection, call_id),
        )

    def _can_reach(
        self,
        source: simulated_proxy.Proxy,
        fake: fake_upstreams.FakeUpstream,
    ) -> bool:
        zone = source.proxy_identity.zone
        return self._replica_set.is_reachable(fake.name, zone)

    def _deliver_reply(
        self, connection: Connection, call_id: int, reply: upstream.Reply
    ) -> None:
        if connection.call_id == call_id and self._is_open(connection):
            connection.call_id = 0
            replied = items.UpstreamReplied(
                self._network.now, connection.conn, reply
            )
            self._feed(connection.source, replied)

    def _time_out(self, connection: Connection, call_id: int) -> None:
        if connection.call_id == call_id and self._is_open(connection):
            self._fail(connection, errors.ConnectionLostError("timeout"))

    def _fail(
        self, connection: Connection, error: errors.FescueshuntError
    ) -> None:
        self._close(connection)
        failed = items.UpstreamFailed(self._network.now, connection.conn, error)
        self._feed(connection.source, failed)

    def _is_open(self, connection: Connection) -> bool:
        return (id(connection.source), connection.conn) in self._connections

    def _close(self, connection: Connection) -> None:
        """Closes a connection after the calls sent on it have arrived."""
        del self._connections[id(connection.source), connection.conn]
        arrival_s = connection.last_arrival_at - self._network.now
        self._network.call_later(
            max(arrival_s, 0.0) + self._network.hop_s(),
            lambda: connection.fake.close(connection.session_id),
        )
