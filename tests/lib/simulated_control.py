"""Simulated control calls of proxies to upstreams."""

from __future__ import annotations

from fescueshunt import errors
from fescueshunt.core import filters, items, upstream
from lib import simulated_network, simulated_proxy, simulated_replica_set


class ControlCalls:
    """Runs control calls; their replies or failures are fed to the caller."""

    def __init__(
        self,
        network: simulated_network.SimulatedNetwork,
        replica_set: simulated_replica_set.SimulatedReplicaSet,
        feed: simulated_proxy.Feed,
    ) -> None:
        self._network = network
        self._replica_set = replica_set
        self._feed = feed

    def run(
        self, source: simulated_proxy.Proxy, effect: items.CallControl
    ) -> None:
        """Runs a control call, which fails if no reply comes in time."""
        fake = self._replica_set.upstreams[effect.upstream]
        zone = source.proxy_identity.zone
        sent_at = self._network.now
        is_pending = True

        def finish(item: filters.Item) -> None:
            nonlocal is_pending
            if is_pending:
                is_pending = False
                self._feed(source, item)

        def finish_with_reply(reply: upstream.Reply) -> None:
            finish(
                items.ControlReplied(
                    self._network.now,
                    effect.database,
                    effect.upstream,
                    effect.call,
                    sent_at,
                    reply,
                )
            )

        def on_reply(reply: upstream.Reply) -> None:
            if not self._replica_set.is_reachable(fake.name, zone):
                return
            for delay_s in self._network.delivery_delays():
                self._network.call_later(
                    delay_s, lambda: finish_with_reply(reply)
                )

        def execute() -> None:
            if fake.alive and self._replica_set.is_reachable(fake.name, zone):
                fake.control(effect.call, self._network.now, on_reply)

        def time_out() -> None:
            finish(
                items.ControlFailed(
                    self._network.now,
                    effect.database,
                    effect.upstream,
                    effect.call,
                    errors.ConnectionLostError("timeout"),
                )
            )

        for delay_s in self._network.delivery_delays()[:1]:
            self._network.call_later(delay_s, execute)
        self._network.call_later(effect.timeout_s, time_out)
