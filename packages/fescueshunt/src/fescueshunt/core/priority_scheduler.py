"""The schedule of ranks: urgent first, floors kept, no wait without hope.

Starts are charged in seconds of slot time. A rank with waiting work is
credited its floor's share of each charge; while it is owed something, it goes
first. So the floors hold over any stretch in which work waits, also where
they are less than one slot, and a slot is never kept free for them. Source of
the credits: Shreedhar and Varghese, "Efficient fair queuing using deficit
round robin", IEEE/ACM Transactions on Networking 4(3), 1996.

Work is refused on arrival if the wait that is expected for it is beyond its
goal. The goal is the target of its rank: an answer after it is worth less,
and a queue longer than the target makes every answer late.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import rank_queue, ranks, scheduling

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping


MIN_CEILING_SLOTS = 1


class PriorityScheduler(scheduling.Scheduler):
    """The queues of all ranks."""

    def __init__(self) -> None:
        self._lanes: dict[int, rank_queue.RankQueue] = {}
        self._ranks: dict[int, ranks.Rank] = {}
        self._floors: Mapping[str, float] = {}
        self._times = scheduling.ServiceTimes()
        self._mean_s: dict[int, float] = {}

    def __len__(self) -> int:
        """Returns how much work waits."""
        return sum(len(queue) for queue in self._lanes.values())

    def offer(
        self, work: scheduling.Job, now: float, slots: scheduling.Slots
    ) -> float | None:
        """Queues `work` if it can meet its goal."""
        order = work.rank.order
        self._ranks[order] = work.rank
        queue = self._lanes.setdefault(order, rank_queue.RankQueue())
        service_s = self._times.of(work)
        wait_s = self._wait_s(work, queue, slots)
        target_at = work.target_at
        if work.in_doubt or now + service_s > target_at:
            return self._offer_late(work, queue, now, wait_s)
        if wait_s > 0 and now + wait_s + service_s > target_at:
            return wait_s
        queue.push(work)
        return None

    def _offer_late(
        self,
        work: scheduling.Job,
        queue: rank_queue.RankQueue,
        now: float,
        wait_s: float,
    ) -> float | None:
        if not work.in_doubt and now + wait_s > work.deadline:
            return wait_s
        queue.late.append(work)
        return None

    def _wait_s(
        self,
        work: scheduling.Job,
        queue: rank_queue.RankQueue,
        slots: scheduling.Slots,
    ) -> float:
        """Returns the wait to expect; seconds."""
        if slots.busy < slots.total and not len(self):
            return 0.0
        order = work.rank.order
        ahead = queue.ahead_of(work.caller) + len(queue.late)
        own_s = (ahead + 1) * self._mean(order)
        urgent_s = 0.0
        owed = 0.0
        for other, waiting in self._lanes.items():
            if other < order:
                urgent_s += len(waiting) * self._mean(other)
            elif other > order and len(waiting):
                owed += self._floor(other)
        first_s = (urgent_s + own_s) / (slots.total * max(1 - owed, 0.1))
        expected_s = max(first_s, ahead * queue.interval_s)
        floor = self._floor(order)
        if floor <= 0:
            return expected_s
        return min(expected_s, own_s / (slots.total * floor))

    def pop(
        self, now: float, slots: scheduling.Slots
    ) -> tuple[scheduling.Job | None, list[scheduling.Job]]:
        """Returns the work to start; refuses what would be late for sure."""
        refused: list[scheduling.Job] = []
        order = self._choose(slots)
        if order is None:
            return None, refused
        queue = self._lanes[order]
        work = queue.pop()
        while queue.count and self._is_hopeless(work, now):
            refused.append(work)
            work = queue.pop()
        return work, refused

    def started(self, work: scheduling.Job, now: float) -> None:
        """Charges the rank of `work` for its slot time."""
        order = work.rank.order
        self._charge(order, self._times.of(work))
        self._lanes[order].note_start(now)

    def _choose(self, slots: scheduling.Slots) -> int | None:
        ready = [
            order
            for order, queue in self._lanes.items()
            if len(queue) and self._is_below_ceiling(order, slots)
        ]
        owed = [o for o in ready if self._lanes[o].credit_s > 0]
        if owed:
            return max(owed, key=lambda o: self._lanes[o].credit_s)
        return min(ready, default=None)

    def _is_below_ceiling(self, order: int, slots: scheduling.Slots) -> bool:
        share = int(slots.total * self._ranks[order].ceiling)
        return slots.running.get(order, 0) < max(share, MIN_CEILING_SLOTS)

    def _is_hopeless(self, work: scheduling.Job, now: float) -> bool:
        return not work.in_doubt and now + self._times.of(work) > work.target_at

    def _charge(self, started: int, cost_s: float) -> None:
        for order, queue in self._lanes.items():
            if len(queue) or order == started:
                queue.credit_s += self._floor(order) * cost_s
        queue = self._lanes[started]
        queue.credit_s = max(queue.credit_s - cost_s, -cost_s)
        for waiting in self._lanes.values():
            if not len(waiting):
                waiting.credit_s = min(waiting.credit_s, 0.0)

    def put_back(self, work: scheduling.Job) -> None:
        """Returns popped work that could not start."""
        self._lanes[work.rank.order].put_back(work)

    def waiting(self) -> Iterator[scheduling.Job]:
        """Yields all work that waits."""
        for queue in self._lanes.values():
            yield from queue.waiting()

    def remove_if(
        self, is_over: Callable[[scheduling.Job], bool]
    ) -> list[scheduling.Job]:
        """Takes out the work of which `is_over` is true."""
        return [
            work
            for queue in self._lanes.values()
            for work in queue.remove_if(is_over)
        ]

    def released(self, work: scheduling.Job, held_s: float) -> None:
        """Learns how long the work of a rank holds its slot."""
        self._times.note(work, held_s)
        order = work.rank.order
        known_s = self._mean_s.get(order, held_s)
        change_s = scheduling.SERVICE_SMOOTHING * (held_s - known_s)
        self._mean_s[order] = known_s + change_s

    def set_floors(self, floors: Mapping[str, float]) -> None:
        """Replaces the declared floors of the ranks named in `floors`."""
        self._floors = floors

    def _floor(self, order: int) -> float:
        rank = self._ranks[order]
        return self._floors.get(rank.name, rank.floor)

    def _mean(self, order: int) -> float:
        return self._mean_s.get(order, scheduling.INITIAL_SERVICE_S)
