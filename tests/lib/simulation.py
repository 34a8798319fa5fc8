"""Deterministic simulation of proxies over fake upstreams.

The cores of the proxies exchange messages in memory and share a virtual clock.
Every step is an event at a virtual time, and all random choices come from the
seed.
"""

from __future__ import annotations

import dataclasses
import itertools
import pathlib
from collections.abc import Callable

from fescueshunt import errors, proxy
from fescueshunt.core import (
    document,
    filters,
    identity,
    items,
    process,
    request,
)
from fescueshunt_wire import codec
from lib import (
    fake_upstreams,
    simulated_connections,
    simulated_control,
    simulated_network,
    simulated_proxy,
    simulated_replica_set,
    simulated_settings,
)

WALL_CLOCK_OFFSET_S = 1.8e9
TICK_INTERVAL_S = 0.02
STORE_DELAY_S = 0.005
WARM_UP_S = 3.0


class SimulatedCluster(simulated_network.SimulatedNetwork):
    """Two or three proxies with their callers, and three upstreams.

    Attributes:
      settings: the document that the settings store serves.
      answers: the newest answer by proxy name, connection and sequence number.
      duplicate_answers: the number of answers to already answered requests.
      effect_counts: the number of effects by type name.
      upstreams: the fake upstreams by name.
      proxies: the running proxies by name.
    """

    def __init__(
        self,
        seed: int = 0,
        proxies: int = 2,
        settings: document.Document = simulated_settings.SETTINGS,
    ) -> None:
        super().__init__(seed)
        self.settings = settings
        self.answers: dict[tuple[str, int, int], request.Answer] = {}
        self.duplicate_answers = 0
        self.effect_counts: dict[str, int] = {}
        self._incarnations = itertools.count(1)
        self._seqs = itertools.count(1)
        self._replica_set = simulated_replica_set.SimulatedReplicaSet(
            self, settings.databases[0]
        )
        self._connections = simulated_connections.SimulatedConnections(
            self, self._replica_set, self._feed_if_running
        )
        self._control_calls = simulated_control.ControlCalls(
            self, self._replica_set, self._feed_if_running
        )
        self.upstreams = self._replica_set.upstreams
        self.proxies: dict[str, simulated_proxy.Proxy] = {}
        self._proxy_names = [f"proxy-{n}" for n in range(proxies)]
        for name in self._proxy_names:
            self.start(name)
        self._replica_set.start_replication()
        self.run(WARM_UP_S)

    # Proxies.

    def start(self, name: str) -> None:
        """Starts a proxy as a new incarnation with a new core."""
        number = self._proxy_names.index(name)
        proxy_identity = identity.Identity(
            name,
            simulated_settings.ZONES[number],
            f"127.0.0.1:{number + 100}",
            next(self._incarnations),
        )
        self.proxies[name] = simulated_proxy.Proxy(
            proxy_identity, proxy.build(proxy_identity, codec.ResultCodec())
        )
        self._tick(name, self.proxies[name])

    def kill(self, name: str) -> None:
        """Kills a proxy, closes its connections and notifies the others."""
        killed = self.proxies.pop(name)
        self._connections.close_all(killed)
        for other in self.proxies:
            self._report_peer_lost(other, name)

    def close_caller(self, name: str, conn: int) -> None:
        """Closes the connection of a caller."""
        self.feed(name, items.CallerClosed(self.now, conn))

    def count_connections(self, upstream_name: str) -> int:
        """Returns the number of open connections to an upstream."""
        return self._connections.count(upstream_name)

    def break_busy_connections(self) -> int:
        """Breaks all connections with a call in flight; returns the number."""
        return self._connections.break_busy()

    def feed(self, name: str, item: filters.Item) -> None:
        """Feeds an item to a proxy's core and applies the resulting effects.

        Items are dropped if the proxy is not running, and delivered after the
        pause if it is paused.
        """
        running = self.proxies.get(name)
        if running is None or running.stopped:
            return
        if self.now < running.paused_until:
            wait_s = running.paused_until - self.now
            self.call_later(
                wait_s, lambda: self._feed_after_pause(running, item)
            )
            return
        running.recorded_items.append(item)
        for effect in list(running.core.feed(item)):
            self._apply_effect(running, effect)

    def pause(self, name: str, seconds: float) -> None:
        """Pauses a proxy; its items are delivered after the pause."""
        self.proxies[name].paused_until = self.now + seconds

    def _feed_after_pause(
        self, source: simulated_proxy.Proxy, item: filters.Item
    ) -> None:
        self._feed_if_running(source, dataclasses.replace(item, at=self.now))

    def write_trace(self, name: str, path: pathlib.Path) -> None:
        """Writes the items fed to a proxy to `path`, as a trace to replay."""
        self.proxies[name].write_trace(path)

    # Callers.

    def send(self, name: str, conn: int, req: request.Request) -> int:
        """Sends a request of a caller; returns its sequence number."""
        seq = next(self._seqs)
        wall_s = WALL_CLOCK_OFFSET_S + self.now
        self.feed(name, items.CallerRequest(self.now, wall_s, conn, seq, req))
        return seq

    def execute(
        self, name: str, req: request.Request, conn: int = 1, wait_s: float = 6
    ) -> request.Answer | None:
        """Sends a request and returns its answer.

        Returns None if there is no answer within `wait_s` seconds of virtual
        time.
        """
        seq = self.send(name, conn, req)
        until = self.now + wait_s
        while (name, conn, seq) not in self.answers and self.now < until:
            self.run(simulated_network.HOP_DELAY_S)
        return self.answers.get((name, conn, seq))

    def new_request_id(self) -> bytes:
        """Returns a new request id with the current time."""
        random_bytes = self.rng.randbytes(10)
        return request.make_request_id(
            WALL_CLOCK_OFFSET_S + self.now, random_bytes
        )

    def rows(self) -> list[str]:
        """Returns all tags in the table of the newest primary."""
        return self._replica_set.rows()

    def primary(self) -> fake_upstreams.FakeUpstream:
        """Returns the primary with the highest term."""
        return self._replica_set.primary()

    # Effects of the cores.

    def _apply_effect(
        self, source: simulated_proxy.Proxy, effect: filters.Item
    ) -> None:
        name = type(effect).__name__
        self.effect_counts[name] = self.effect_counts.get(name, 0) + 1
        match effect:
            case items.AnswerCaller():
                self._record_answer(source, effect)
            case items.SendPeer():
                self._send_peer(source, effect)
            case items.OpenUpstream():
                self.call_later(
                    self.hop_s(), lambda: self._connections.open(source, effect)
                )
            case items.RunUpstream():
                self._connections.run_call(source, effect)
            case items.CloseUpstream():
                self._connections.close(source, effect.conn)
            case items.CallControl():
                self._control_calls.run(source, effect)
            case items.ReadHosts() if self._is_isolated(source):
                pass
            case items.ReadSettings() if self._is_isolated(source):
                error = errors.StoreUnavailableError()
                item = items.SettingsReadFailed(self.now, error)
                self._schedule_item(source, lambda: item)
            case items.ReadHosts():
                self._schedule_item(source, self._read_hosts)
            case items.ReadSettings(above=above, wait_s=wait_s):
                delay_s = wait_s if above else STORE_DELAY_S
                self.call_later(
                    delay_s,
                    lambda: self._feed_if_running(
                        source, self._read_settings()
                    ),
                )
            case process.Stopped():
                source.stopped = True
                self.kill(source.proxy_identity.name)

    def _is_isolated(self, source: simulated_proxy.Proxy) -> bool:
        return source.proxy_identity.zone in self.isolated_zones

    def _record_answer(
        self, source: simulated_proxy.Proxy, effect: items.AnswerCaller
    ) -> None:
        key = (source.proxy_identity.name, effect.conn, effect.seq)
        if key in self.answers:
            self.duplicate_answers += 1
        self.answers[key] = effect.answer

    def _read_hosts(self) -> filters.Item:
        hosts = tuple(
            items.Host(
                p.proxy_identity.name,
                p.proxy_identity.zone,
                p.proxy_identity.address,
            )
            for p in self.proxies.values()
        )
        return items.HostsRead(self.now, hosts)

    def _read_settings(self) -> filters.Item:
        return items.SettingsRead(self.now, self.settings, 1)

    def _send_peer(
        self, source: simulated_proxy.Proxy, effect: items.SendPeer
    ) -> None:
        sender, target = source.proxy_identity.name, self._find_receiver(effect)
        if target not in self.proxies:
            self._report_peer_lost(sender, target)
            return
        if self.is_partitioned(
            source.proxy_identity.zone, self.proxies[target].proxy_identity.zone
        ):
            return

        def deliver() -> None:
            item = items.PeerReceived(self.now, sender, effect.message)
            self.feed(target, item)

        for delay_s in self.delivery_delays(effect.message):
            self.call_later(delay_s, deliver)

    def _find_receiver(self, effect: items.SendPeer) -> str:
        """Returns the name of the proxy that listens on the address.

        If no proxy listens there, this is the name that the sender gave.
        """
        for name, running in self.proxies.items():
            if effect.address == running.proxy_identity.address:
                return name
        return effect.name

    def _report_peer_lost(self, name: str, lost_peer: str) -> None:
        self.call_later(
            self.hop_s(),
            lambda: self.feed(name, items.PeerLost(self.now, lost_peer)),
        )

    # Clock.

    def _tick(self, name: str, started: simulated_proxy.Proxy) -> None:
        if self.proxies.get(name) is not started:
            return
        self.feed(name, filters.Tick(self.now, WALL_CLOCK_OFFSET_S + self.now))
        self.call_later(TICK_INTERVAL_S, lambda: self._tick(name, started))

    def _schedule_item(
        self, source: simulated_proxy.Proxy, make: Callable[[], filters.Item]
    ) -> None:
        self.call_later(
            self.hop_s(), lambda: self._feed_if_running(source, make())
        )

    def _feed_if_running(
        self, source: simulated_proxy.Proxy, item: filters.Item
    ) -> None:
        if self.proxies.get(source.proxy_identity.name) is source:
            self.feed(source.proxy_identity.name, item)
