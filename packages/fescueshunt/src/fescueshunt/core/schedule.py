"""Scheduling of queued jobs: which one starts next and which are refused.

Both front ends use it: one queues requests at each upstream, the other queues
sessions' statements at the members of a replica set.
"""

from __future__ import annotations

import abc
import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable, Iterator, Mapping

    from fescueshunt.core import ranks

INITIAL_SERVICE_S = 0.01
SERVICE_SMOOTHING = 0.1


class Job(abc.ABC):
    """A unit of work that a scheduler orders.

    Attributes:
      rank: the priority class of the job.
      deadline: the time after which the result is useless, in seconds on the
        local clock.
      in_doubt: whether an earlier attempt may have run. Such a job has to be
        settled, however late.
    """

    __slots__ = ()

    rank: ranks.Rank
    deadline: float
    in_doubt: bool

    @property
    @abc.abstractmethod
    def caller(self) -> str:
        """The caller that submitted the job; callers take turns."""

    @property
    @abc.abstractmethod
    def kind(self) -> Hashable:
        """A key that groups jobs of similar service time."""

    @property
    @abc.abstractmethod
    def submitted_at(self) -> float:
        """The time of arrival, in seconds on the local clock."""

    @property
    def target_at(self) -> float:
        """The time until which an answer has its full value."""
        return min(self.submitted_at + self.rank.target_s, self.deadline)


@dataclasses.dataclass(frozen=True, slots=True)
class Slots:
    """The slots of one upstream.

    Attributes:
      total: the number of slots.
      running: the number of running jobs, by the order of their rank.
    """

    total: int
    running: Mapping[int, int]

    @property
    def busy(self) -> int:
        """The number of occupied slots."""
        return sum(self.running.values())


class ServiceTimes:
    """Moving averages of the slot time that each kind of job takes."""

    def __init__(self) -> None:
        self._averages: dict[Hashable, float] = {}

    def record(self, job: Job, observed_s: float) -> None:
        """Adds an observed service time, in seconds, of the kind of `job`."""
        average_s = self._averages.get(job.kind, observed_s)
        change_s = SERVICE_SMOOTHING * (observed_s - average_s)
        self._averages[job.kind] = average_s + change_s

    def estimate(self, job: Job) -> float:
        """Returns the expected service time of `job` in seconds."""
        return self._averages.get(job.kind, INITIAL_SERVICE_S)


class Scheduler(abc.ABC):
    """A queue that decides which job starts next and which are refused."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Returns the number of queued jobs."""

    @abc.abstractmethod
    def offer(self, job: Job, now: float, slots: Slots) -> float | None:
        """Queues `job` unless its expected wait is too long.

        Returns:
          None if the job was queued, else the expected wait in seconds.
        """

    @abc.abstractmethod
    def pop(self, now: float, slots: Slots) -> tuple[Job | None, list[Job]]:
        """Removes the next job to start and the jobs to refuse.

        Returns:
          The job to start, or None, and the jobs that are refused because
          they would be too late.
        """

    @abc.abstractmethod
    def started(self, job: Job, now: float) -> None:
        """Records that the popped `job` now occupies a slot."""

    @abc.abstractmethod
    def put_back(self, job: Job) -> None:
        """Returns a popped job that did not start to the head of its queue."""

    @abc.abstractmethod
    def waiting(self) -> Iterator[Job]:
        """Yields all queued jobs in unspecified order."""

    @abc.abstractmethod
    def remove_if(self, predicate: Callable[[Job], bool]) -> list[Job]:
        """Removes and returns the jobs for which `predicate` is true."""

    def remove_expired(self, now: float) -> list[Job]:
        """Removes and returns the jobs whose deadline has passed."""
        return self.remove_if(lambda job: job.deadline <= now)

    def clear(self) -> list[Job]:
        """Removes and returns all jobs."""
        return self.remove_if(lambda _: True)

    @abc.abstractmethod
    def released(self, job: Job, service_time_s: float) -> None:
        """Records that `job` occupied its slot for `service_time_s` seconds."""

    @abc.abstractmethod
    def set_floors(self, floors: Mapping[str, float]) -> None:
        """Replaces the floors of the ranks whose names are in `floors`."""


class FifoScheduler(Scheduler):
    """First in, first out, regardless of rank; a baseline for comparison."""

    def __init__(self) -> None:
        self._queue: collections.deque[Job] = collections.deque()

    def __len__(self) -> int:
        """Returns the number of queued jobs."""
        return len(self._queue)

    def offer(self, job: Job, now: float, slots: Slots) -> float | None:
        """Queues `job`; it is never refused."""
        self._queue.append(job)

    def pop(self, now: float, slots: Slots) -> tuple[Job | None, list[Job]]:
        """Removes and returns the oldest job; refuses none."""
        return (self._queue.popleft() if self._queue else None), []

    def started(self, job: Job, now: float) -> None:
        """Does nothing; slot time is not accounted for."""

    def put_back(self, job: Job) -> None:
        """Returns a popped job to the head of the queue."""
        self._queue.appendleft(job)

    def waiting(self) -> Iterator[Job]:
        """Yields all queued jobs, oldest first."""
        return iter(self._queue)

    def remove_if(self, predicate: Callable[[Job], bool]) -> list[Job]:
        """Removes and returns the jobs for which `predicate` is true."""
        removed = [job for job in self._queue if predicate(job)]
        if removed:
            remaining = (job for job in self._queue if not predicate(job))
            self._queue = collections.deque(remaining)
        return removed

    def released(self, job: Job, service_time_s: float) -> None:
        """Does nothing; service times are not recorded."""

    def set_floors(self, floors: Mapping[str, float]) -> None:
        """Does nothing; this scheduler has no floors."""
