"""Random faults around promotion calls that arrive late and unanswered."""

from __future__ import annotations

from collections.abc import Iterable

from fescueshunt.core import store_items
from lib import hosted_world, promotion_network

# The platform carries out a call up to this time after it was sent.
MAX_DELAY_S = 6.0
MAX_LATE_CALLS = 3
FIRST_FAULT_S = 2.0
OTHER_FAULTS_S = 10.0


class LatePromotions:
    """Loses a primary, and holds up the calls that are to replace it.

    Attributes:
      descriptions: what happens, for the message of a failed test.
      last_at: when the last fault has ended and the last late call has arrived.
    """

    def __init__(self, world: hosted_world.World) -> None:
        self.descriptions: list[str] = []
        self.last_at = world.now
        self._world = world
        self._late_calls_left = world.rng.randint(1, MAX_LATE_CALLS)
        world.promotion_network.on_call = self._handle_call
        world.call_later(
            world.rng.uniform(0, FIRST_FAULT_S), self._lose_primary
        )

    def _describe(self, text: str, duration_s: float) -> None:
        now = self._world.now
        self.descriptions.append(f"{text} at {now:.2f} for {duration_s:.2f}")
        self.last_at = max(self.last_at, now + duration_s)

    def _lose_primary(self) -> None:
        primary = self._world.replicas.primary()
        if primary is None:
            return
        duration_s = self._world.rng.uniform(1.0, 9.0)
        if self._world.rng.random() < 0.5:
            others = [*self._world.hosts]
            if self._world.rng.random() < 0.7:
                others += self._world.replicas.members
            self._cut_off(primary.name, others, duration_s)
        else:
            self._crash(primary.name, duration_s)

    def _cut_off(
        self, name: str, others: Iterable[str], duration_s: float
    ) -> None:
        world = self._world
        pairs = {frozenset((name, other)) for other in others if other != name}
        world.partitions |= pairs
        world.call_later(
            duration_s, lambda: world.partitions.difference_update(pairs)
        )
        self._describe(f"{name} cut off", duration_s)

    def _crash(self, name: str, duration_s: float) -> None:
        if not self._world.replicas.members[name].up:
            return
        self._world.crash(name)
        self._world.call_later(duration_s, lambda: self._world.restart(name))
        self._describe(f"{name} crashed", duration_s)

    def _handle_call(self, call: store_items.CallPromotion) -> None:
        if not self._late_calls_left:
            return
        self._late_calls_left -= 1
        delay_s = self._world.rng.uniform(0, MAX_DELAY_S)
        self._world.promotion_network.deliveries.append(
            promotion_network.Delivery(delay_s, is_answer_lost=True)
        )
        self._describe(
            f"call for {call.upstream} with {call.token} late", delay_s
        )
        self._schedule_faults(call, delay_s)

    def _schedule_faults(
        self, call: store_items.CallPromotion, delay_s: float
    ) -> None:
        """Disturbs the called upstream and the holder before the arrival."""
        rng = self._world.rng
        if rng.random() < 0.6:
            self._world.call_later(
                rng.uniform(0, delay_s),
                lambda: self._restart_isolated(call.upstream),
            )
        kind = rng.random()
        if kind < 0.4:
            self._world.call_later(
                rng.uniform(0, delay_s), lambda: self._kill(call.holder)
            )
        elif kind < 0.7:
            self._world.call_later(
                rng.uniform(0, delay_s), lambda: self._freeze(call.holder)
            )

    def _restart_isolated(self, name: str) -> None:
        """Restarts a member that often receives nothing for a while then."""
        down_s = self._world.rng.uniform(0.3, 3.0)
        self._crash(name, down_s)
        if self._world.rng.random() < 0.6:
            isolated_s = down_s + self._world.rng.uniform(0.5, 5.0)
            self._cut_off(name, self._world.replicas.members, isolated_s)

    def _kill(self, host: str) -> None:
        if host not in self._world.hosts:
            return
        down_s = self._world.rng.uniform(0.3, 3.0)
        self._world.kill_host(host)
        self._world.call_later(down_s, lambda: self._world.start_host(host))
        self._describe(f"{host} killed", down_s)

    def _freeze(self, host: str) -> None:
        if host not in self._world.hosts:
            return
        duration_s = self._world.rng.uniform(0.3, 6.0)
        self._world.freeze(host, duration_s)
        self._describe(f"{host} frozen", duration_s)
