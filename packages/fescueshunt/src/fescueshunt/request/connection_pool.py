"""The connection pool of one upstream, with its slots and queue."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import reconnect, schedule

if TYPE_CHECKING:
    from fescueshunt.request import items

MAX_CONCURRENT_OPENS = 3
INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0
IDLE_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunningWork:
    """Work that has held a slot since `started_at`; seconds, local clock."""

    work: items.Work
    started_at: float


@dataclasses.dataclass(slots=True)
class ConnectionPool:
    """The connections of one upstream, and the queue for its slots.

    Attributes:
      slots: the maximum number of requests that run at the same time.
      max_connections: the maximum number of connections that are opened.
      queue: the requests that wait for a slot.
      min_connections: the number of connections that are kept open without
        work; 0 if this proxy is not the home proxy of the upstream.
      idle: when each idle connection was last used, by connection id.
      opening: the ids of connections that are being opened.
      running: the work that holds a slot, by connection id.
      running_by_rank: the number of slots in use, by the order of the rank.
      reconnect: the back-off after failed attempts to connect.
    """

    database: str
    upstream: str
    address: str
    slots: int
    max_connections: int
    queue: schedule.Scheduler
    min_connections: int = 0
    idle: dict[int, float] = dataclasses.field(default_factory=dict)
    opening: set[int] = dataclasses.field(default_factory=set)
    running: dict[int, RunningWork] = dataclasses.field(default_factory=dict)
    running_by_rank: dict[int, int] = dataclasses.field(default_factory=dict)
    reconnect: reconnect.ReconnectBackoff = dataclasses.field(
        default_factory=lambda: reconnect.ReconnectBackoff(
            INITIAL_BACKOFF_S, MAX_BACKOFF_S
        )
    )

    @property
    def size(self) -> int:
        """The number of connections that are open or being opened."""
        return len(self.idle) + len(self.opening) + len(self.running)

    def has_free_slot(self) -> bool:
        """Returns whether a slot is free."""
        return len(self.running) < self.slots

    def is_unreachable(self, now: float) -> bool:
        """Returns whether no connection exists and back-off delays the next."""
        is_backing_off = self.reconnect.failures and not self.reconnect.is_due(
            now
        )
        return bool(is_backing_off) and not self.size

    def slot_usage(self) -> schedule.Slots:
        """Returns the slot counts that the schedule needs."""
        return schedule.Slots(self.slots, self.running_by_rank)

    def connections_to_open(self, now: float) -> int:
        """Returns the number of connections to open now."""
        if not self.reconnect.is_due(now):
            return 0
        available = len(self.idle) + len(self.opening)
        startable = min(len(self.queue), self.slots - len(self.running))
        missing = max(startable - available, self.min_connections - self.size)
        allowed = min(
            MAX_CONCURRENT_OPENS - len(self.opening),
            self.max_connections - self.size,
        )
        return max(min(missing, allowed), 0)

    def start(self, conn: int, work: items.Work, now: float) -> None:
        """Assigns a slot and the idle connection `conn` to `work`."""
        del self.idle[conn]
        self.running[conn] = RunningWork(work, now)
        order = work.rank.order
        self.running_by_rank[order] = self.running_by_rank.get(order, 0) + 1
        self.queue.started(work, now)

    def stop(self, conn: int, now: float, completed: bool = True) -> None:
        """Frees the slot of the work that ran on `conn`.

        Only completed work counts towards the service times that the schedule
        learns.
        """
        running = self.running.pop(conn, None)
        if running is None:
            return
        self.running_by_rank[running.work.rank.order] -= 1
        if completed:
            self.queue.released(running.work, now - running.started_at)

    def surplus_connections(self, now: float) -> list[int]:
        """Returns the ids of idle connections to close.

        They have been unused for more than IDLE_TIMEOUT_S, and closing them
        leaves at least `min_connections` open.
        """
        idle_too_long = [
            conn
            for conn, idle_since in self.idle.items()
            if now - idle_since > IDLE_TIMEOUT_S
        ]
        return idle_too_long[: max(self.size - self.min_connections, 0)]
