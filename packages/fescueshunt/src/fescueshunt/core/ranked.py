"""Priority scheduler with guaranteed floors and admission control.

When a job starts, its rank is charged the expected slot time in seconds, and
each rank with queued jobs is credited its floor's share of that charge. Ranks
with a positive credit are served first, then the most urgent rank. The floors
therefore hold over any period in which jobs are queued, even where they amount
to less than one slot, and no slot is kept idle for them. The credits follow
Shreedhar and Varghese, "Efficient fair queuing using deficit round robin",
IEEE/ACM Transactions on Networking 4(3), 1996.

A job is refused on arrival if its expected wait exceeds the target latency of
its rank: a later answer is worth less, and a queue longer than the target makes
every answer late.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import rank_queue, ranks, schedule

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping


MIN_CEILING_SLOTS = 1


class PriorityScheduler(schedule.Scheduler):
    """A scheduler with one queue per rank, served by credit, then by rank."""

    def __init__(self) -> None:
        self._queues: dict[int, rank_queue.RankQueue] = {}
        self._ranks: dict[int, ranks.Rank] = {}
        self._floors: Mapping[str, float] = {}
        self._service_times = schedule.ServiceTimes()
        self._mean_s: dict[int, float] = {}

    def __len__(self) -> int:
        """Returns the number of queued jobs."""
        return sum(len(queue) for queue in self._queues.values())

    def offer(
        self, job: schedule.Job, now: float, slots: schedule.Slots
    ) -> float | None:
        """Queues `job` unless it can't be answered by its target time."""
        order = job.rank.order
        self._ranks[order] = job.rank
        queue = self._queues.setdefault(order, rank_queue.RankQueue())
        service_s = self._service_times.estimate(job)
        wait_s = self._expected_wait_s(job, queue, slots)
        target_at = job.target_at
        if job.in_doubt or now + service_s > target_at:
            return self._offer_late(job, queue, now, wait_s)
        if wait_s > 0 and now + wait_s + service_s > target_at:
            return wait_s
        queue.push(job)
        return None

    def _offer_late(
        self,
        job: schedule.Job,
        queue: rank_queue.RankQueue,
        now: float,
        wait_s: float,
    ) -> float | None:
        if not job.in_doubt and now + wait_s > job.deadline:
            return wait_s
        queue.late.append(job)
        return None

    def _expected_wait_s(
        self,
        job: schedule.Job,
        queue: rank_queue.RankQueue,
        slots: schedule.Slots,
    ) -> float:
        """Returns the expected queueing time of `job` in seconds."""
        if slots.busy < slots.total and not len(self):
            return 0.0
        order = job.rank.order
        ahead = queue.ahead_of(job.caller) + len(queue.late)
        own_s = (ahead + 1) * self._mean(order)
        urgent_s = 0.0
        lower_floors = 0.0
        for other, other_queue in self._queues.items():
            if other < order:
                urgent_s += len(other_queue) * self._mean(other)
            elif other > order and len(other_queue):
                lower_floors += self._floor(other)
        by_priority_s = (urgent_s + own_s) / (
            slots.total * max(1 - lower_floors, 0.1)
        )
        expected_s = max(by_priority_s, ahead * queue.interval_s)
        floor = self._floor(order)
        if floor <= 0:
            return expected_s
        return min(expected_s, own_s / (slots.total * floor))

    def pop(
        self, now: float, slots: schedule.Slots
    ) -> tuple[schedule.Job | None, list[schedule.Job]]:
        """Removes the next job, and refuses jobs that would miss their target.

        Returns:
          The job to start, or None, and the refused jobs.
        """
        refused: list[schedule.Job] = []
        order = self._next_rank(slots)
        if order is None:
            return None, refused
        queue = self._queues[order]
        job = queue.pop()
        while queue.count and self._will_miss_target(job, now):
            refused.append(job)
            job = queue.pop()
        return job, refused

    def started(self, job: schedule.Job, now: float) -> None:
        """Charges the expected slot time of `job` to its rank."""
        order = job.rank.order
        self._charge(order, self._service_times.estimate(job))
        self._queues[order].record_start(now)

    def _next_rank(self, slots: schedule.Slots) -> int | None:
        eligible = [
            order
            for order, queue in self._queues.items()
            if len(queue) and self._is_below_ceiling(order, slots)
        ]
        credited = [o for o in eligible if self._queues[o].credit_s > 0]
        if credited:
            return max(credited, key=lambda o: self._queues[o].credit_s)
        return min(eligible, default=None)

    def _is_below_ceiling(self, order: int, slots: schedule.Slots) -> bool:
        share = int(slots.total * self._ranks[order].ceiling)
        return slots.running.get(order, 0) < max(share, MIN_CEILING_SLOTS)

    def _will_miss_target(self, job: schedule.Job, now: float) -> bool:
        return (
            not job.in_doubt
            and now + self._service_times.estimate(job) > job.target_at
        )

    def _charge(self, started: int, cost_s: float) -> None:
        for order, queue in self._queues.items():
            if len(queue) or order == started:
                queue.credit_s += self._floor(order) * cost_s
        queue = self._queues[started]
        queue.credit_s = max(queue.credit_s - cost_s, -cost_s)
        for other in self._queues.values():
            if not len(other):
                other.credit_s = min(other.credit_s, 0.0)

    def put_back(self, job: schedule.Job) -> None:
        """Returns a popped job that did not start to the head of its queue."""
        self._queues[job.rank.order].put_back(job)

    def waiting(self) -> Iterator[schedule.Job]:
        """Yields all queued jobs."""
        for queue in self._queues.values():
            yield from queue.waiting()

    def remove_if(
        self, predicate: Callable[[schedule.Job], bool]
    ) -> list[schedule.Job]:
        """Removes and returns the jobs for which `predicate` is true."""
        return [
            job
            for queue in self._queues.values()
            for job in queue.remove_if(predicate)
        ]

    def released(self, job: schedule.Job, service_time_s: float) -> None:
        """Updates the mean slot time of the kind and the rank of `job`."""
        self._service_times.record(job, service_time_s)
        order = job.rank.order
        mean_s = self._mean_s.get(order, service_time_s)
        change_s = schedule.SERVICE_SMOOTHING * (service_time_s - mean_s)
        self._mean_s[order] = mean_s + change_s

    def set_floors(self, floors: Mapping[str, float]) -> None:
        """Replaces the floors of the ranks whose names are in `floors`."""
        self._floors = floors

    def _floor(self, order: int) -> float:
        rank = self._ranks[order]
        return self._floors.get(rank.name, rank.floor)

    def _mean(self, order: int) -> float:
        return self._mean_s.get(order, schedule.INITIAL_SERVICE_S)
