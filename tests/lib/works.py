"""Work and a slot server with a fake clock, for tests of the policy."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
from typing import TYPE_CHECKING

from fescueshunt.core import document, ranks, request, schedule
from fescueshunt.request import items

if TYPE_CHECKING:
    from collections.abc import Iterable

URGENT = ranks.Rank("urgent", 0, 0.3, 20, 0.4)
GATE = ranks.Rank("gate", 1, 0.5, 5, 0.2)
HISTORY = ranks.Rank("history", 2, 3.0, 1, 0.1)
RANKS = (URGENT, GATE, HISTORY)
KEYS = itertools.count(1)


def work(
    at: float = 0.0,
    rank: ranks.Rank = URGENT,
    caller: str = "c",
    timeout_s: float = 5.0,
    **changes: object,
) -> items.Work:
    """Returns a piece of work that came at `at`."""
    key = next(KEYS)
    req = request.Request(
        key.to_bytes(16, "big"),
        f"{rank.name}-service",
        "db",
        request.Kind.READ,
        caller=caller,
        timeout_s=timeout_s,
    )
    service = document.Service(f"{rank.name}-service", "g", rank.name)
    return items.Work(
        at,
        key,
        items.CallerOrigin(1, key),
        req,
        service,
        rank,
        at + timeout_s,
        **changes,
    )


def with_age(found: items.Work, max_age_s: float) -> items.Work:
    """Returns the same read, of data that may be so old."""
    service = dataclasses.replace(found.service, max_age_s=max_age_s)
    return dataclasses.replace(found, service=service)


@dataclasses.dataclass(slots=True)
class Server:
    """Slots that take `service_s` for each start; time is what tests say."""

    queue: schedule.Scheduler
    total: int
    service_s: float
    now: float = 0.0
    started: list[tuple[float, items.Work]] = dataclasses.field(
        default_factory=list
    )
    refused: list[tuple[float, items.Work]] = dataclasses.field(
        default_factory=list
    )
    ends: list[tuple[float, int, items.Work]] = dataclasses.field(
        default_factory=list
    )
    by_rank: dict[int, int] = dataclasses.field(default_factory=dict)

    @property
    def slots(self) -> schedule.Slots:
        """The slots as the schedule sees them."""
        return schedule.Slots(self.total, self.by_rank)

    def run(self, arrivals: Iterable[items.Work], until: float) -> None:
        """Offers `arrivals`, which are in order of time, and serves."""
        for arrival in arrivals:
            self._advance(arrival.at)
            wait_s = self.queue.offer(arrival, self.now, self.slots)
            if wait_s is not None:
                self.refused.append((self.now, arrival))
            self._serve()
        self._advance(until)

    def served(self, rank: ranks.Rank, start: float, end: float) -> int:
        """Returns how much work of `rank` started in a stretch of time."""
        return sum(
            start <= at < end and found.rank == rank
            for at, found in self.started
        )

    def _advance(self, until: float) -> None:
        while self.ends and self.ends[0][0] <= until:
            self.now, _, done = heapq.heappop(self.ends)
            self.by_rank[done.rank.order] -= 1
            self.queue.released(done, self.service_s)
            self._serve()
        self.now = until

    def _serve(self) -> None:
        while len(self.ends) < self.total:
            found, late = self.queue.pop(self.now, self.slots)
            self.refused += [(self.now, dropped) for dropped in late]
            if found is None:
                return
            self.started.append((self.now, found))
            self.queue.started(found, self.now)
            order = found.rank.order
            self.by_rank[order] = self.by_rank.get(order, 0) + 1
            entry = (self.now + self.service_s, found.key, found)
            heapq.heappush(self.ends, entry)
