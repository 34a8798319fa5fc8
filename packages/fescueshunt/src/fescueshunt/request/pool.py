"""The connections and slots of one upstream at its home."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import reconnect, schedule

if TYPE_CHECKING:
    from fescueshunt.request import items

MAX_OPENING = 3
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0
LINGER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """Work that holds a slot since `since`."""

    work: items.Work
    since: float


@dataclasses.dataclass(slots=True)
class Pool:
    """The connections of one upstream, and the queue for its slots.

    Attributes:
      connections: the most that this home opens.
      warm: how many it keeps open with no work; 0 where it is not the home.
      idle: open connections with the time since when they have no work.
      opening: connections that are being opened.
      running: what holds a slot, by connection.
      reconnect: when the next connection may be opened.
    """

    database: str
    upstream: str
    address: str
    slots: int
    connections: int
    queue: schedule.Scheduler
    warm: int = 0
    idle: dict[int, float] = dataclasses.field(default_factory=dict)
    opening: set[int] = dataclasses.field(default_factory=set)
    running: dict[int, Running] = dataclasses.field(default_factory=dict)
    by_rank: dict[int, int] = dataclasses.field(default_factory=dict)
    reconnect: reconnect.ReconnectBackoff = dataclasses.field(
        default_factory=lambda: reconnect.ReconnectBackoff(
            FIRST_BACKOFF_S, MAX_BACKOFF_S
        )
    )

    @property
    def size(self) -> int:
        """How many connections are open or being opened."""
        return len(self.idle) + len(self.opening) + len(self.running)

    def has_free_slot(self) -> bool:
        """Tells whether a slot is free."""
        return len(self.running) < self.slots

    def is_unreachable(self, now: float) -> bool:
        """Tells whether the last open failed and the next is not due."""
        put_off = self.reconnect.failures and not self.reconnect.is_due(now)
        return bool(put_off) and not self.size

    def seen_slots(self) -> schedule.Slots:
        """Returns what the schedule has to know of the slots."""
        return schedule.Slots(self.slots, self.by_rank)

    def wanted(self, now: float) -> int:
        """Returns how many connections to open now."""
        if not self.reconnect.is_due(now):
            return 0
        ready = len(self.idle) + len(self.opening)
        work = min(len(self.queue), self.slots - len(self.running))
        missing = max(work - ready, self.warm - self.size)
        allowed = min(
            MAX_OPENING - len(self.opening), self.connections - self.size
        )
        return max(min(missing, allowed), 0)

    def start(self, conn: int, work: items.Work, now: float) -> None:
        """Gives `work` a slot and the idle connection `conn`."""
        del self.idle[conn]
        self.running[conn] = Running(work, now)
        order = work.rank.order
        self.by_rank[order] = self.by_rank.get(order, 0) + 1
        self.queue.started(work, now)

    def stop(self, conn: int, now: float, ran: bool = True) -> None:
        """Frees the slot of what ran on `conn`.

        What did not run to its end tells nothing of how long work takes.
        """
        running = self.running.pop(conn, None)
        if running is None:
            return
        self.by_rank[running.work.rank.order] -= 1
        if ran:
            self.queue.released(running.work, now - running.since)

    def surplus(self, now: float) -> list[int]:
        """Returns idle connections to close: more than warm, and unused."""
        unused = [
            conn for conn, since in self.idle.items() if now - since > LINGER_S
        ]
        return unused[: max(self.size - self.warm, 0)]
