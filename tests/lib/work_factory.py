"""Builds requests and simulates the slots of an upstream with a fake clock."""

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


def make_work(
    at: float = 0.0,
    rank: ranks.Rank = URGENT,
    caller: str = "c",
    timeout_s: float = 5.0,
    **changes: object,
) -> items.Work:
    """Returns a read that arrived at `at`; `changes` sets other fields."""
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


def with_max_age(work: items.Work, max_age_s: float) -> items.Work:
    """Returns `work` with a service that accepts data of `max_age_s`."""
    service = dataclasses.replace(work.service, max_age_s=max_age_s)
    return dataclasses.replace(work, service=service)


@dataclasses.dataclass(slots=True)
class SlotServer:
    """Simulates the slots of one upstream.

    Attributes:
      queue: the schedule under test.
      total: the number of slots.
      service_s: how long each request holds a slot.
      now: the simulated time in seconds.
      started: the start time of each started request, and the request.
      refused: the time of each refusal, and the refused request.
      releases: a heap of (end time, key, request) of the slots in use.
      by_rank: the number of slots in use, by the order of the rank.
    """

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
    releases: list[tuple[float, int, items.Work]] = dataclasses.field(
        default_factory=list
    )
    by_rank: dict[int, int] = dataclasses.field(default_factory=dict)

    @property
    def slots(self) -> schedule.Slots:
        """The slot counts that are passed to the schedule."""
        return schedule.Slots(self.total, self.by_rank)

    def run(self, arrivals: Iterable[items.Work], until: float) -> None:
        """Offers `arrivals` in order of time and runs them until `until`."""
        for arrival in arrivals:
            self._advance(arrival.at)
            wait_s = self.queue.offer(arrival, self.now, self.slots)
            if wait_s is not None:
                self.refused.append((self.now, arrival))
            self._serve()
        self._advance(until)

    def served(self, rank: ranks.Rank, start: float, end: float) -> int:
        """Returns the number of starts of `rank` from `start` until `end`."""
        return sum(
            start <= at < end and work.rank == rank for at, work in self.started
        )

    def _advance(self, until: float) -> None:
        while self.releases and self.releases[0][0] <= until:
            self.now, _, work = heapq.heappop(self.releases)
            self.by_rank[work.rank.order] -= 1
            self.queue.released(work, self.service_s)
            self._serve()
        self.now = until

    def _serve(self) -> None:
        while len(self.releases) < self.total:
            work, rejected = self.queue.pop(self.now, self.slots)
            self.refused += [
                (self.now, rejected_work) for rejected_work in rejected
            ]
            if work is None:
                return
            self.started.append((self.now, work))
            self.queue.started(work, self.now)
            order = work.rank.order
            self.by_rank[order] = self.by_rank.get(order, 0) + 1
            slot_release = (self.now + self.service_s, work.key, work)
            heapq.heappush(self.releases, slot_release)
