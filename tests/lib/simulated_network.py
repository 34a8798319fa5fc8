"""Simulated network: delays and faults of messages, and partitions of zones."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

from lib import timeline

HOP_DELAY_S = 0.001
MAX_EXTRA_DELAY_S = 0.3


@dataclasses.dataclass(slots=True)
class Faults:
    """Fault rates of messages between proxies, and of upstream calls.

    Each rate is the fraction, from 0 to 1, of messages, calls and replies that
    are lost, duplicated or delayed. Calls to upstreams are never duplicated.
    """

    loss_rate: float = 0.0
    duplication_rate: float = 0.0
    delay_rate: float = 0.0


class SimulatedNetwork(timeline.VirtualClock):
    """A network whose messages arrive at virtual times.

    Attributes:
      rng: the source of all random choices.
      faults: the fault rates in effect.
      delivery_hook: called with each message; may return the delays after which
        copies of it arrive, in seconds, or None to apply `faults`.
      isolated_zones: the zones that are partitioned from all other zones, the
        settings store and the host list.
      message_faults: the number of faults injected so far.
    """

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.faults = Faults()
        self.delivery_hook: Callable[[object], list[float] | None] = lambda _: (
            None
        )
        self.isolated_zones: set[str] = set()
        self.message_faults = 0

    def is_partitioned(self, zone: str, other_zone: str) -> bool:
        """Returns whether a partition separates two zones."""
        return zone != other_zone and not self.isolated_zones.isdisjoint(
            (zone, other_zone)
        )

    def hop_s(self) -> float:
        """Returns the random delay of one hop without faults, in seconds."""
        return HOP_DELAY_S * self.rng.uniform(0.5, 1.5)

    def delivery_delays(self, message: object = None) -> list[float]:
        """Returns the delay of each delivered copy of a message, in seconds.

        The list is empty if the message is lost. A test can override the delays
        with `delivery_hook`.
        """
        hook_delays = self.delivery_hook(message)
        if hook_delays is not None:
            return hook_delays
        if self.rng.random() < self.faults.loss_rate:
            self.message_faults += 1
            return []
        delay_s = self.hop_s()
        if self.rng.random() < self.faults.delay_rate:
            self.message_faults += 1
            delay_s += self.rng.uniform(0.0, MAX_EXTRA_DELAY_S)
        if self.rng.random() < self.faults.duplication_rate:
            self.message_faults += 1
            return [delay_s, delay_s + self.rng.uniform(0.0, MAX_EXTRA_DELAY_S)]
        return [delay_s]
