"""The queue of one rank, with round-robin turns between callers."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from fescueshunt.core import schedule

INTERVAL_SMOOTHING = 0.2


@dataclasses.dataclass(slots=True)
class RankQueue:
    """The queued jobs of one rank.

    Attributes:
      callers: the jobs that can still meet their target, by caller; the first
        caller has the next turn.
      late: the jobs that could no longer meet their target on arrival. They
        start only while no other job of the rank is queued, newest first.
      count: the number of jobs in `callers`.
      credit_s: the slot time that the floor of the rank entitles it to, in
        seconds.
      interval_s: the smoothed time between two starts while jobs were queued,
        in seconds.
      started_at: the time of the last start if jobs have been queued since
        then, else None.
    """

    callers: collections.OrderedDict[str, collections.deque[schedule.Job]] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )
    late: list[schedule.Job] = dataclasses.field(default_factory=list)
    count: int = 0
    credit_s: float = 0.0
    interval_s: float = 0.0
    started_at: float | None = None

    def __len__(self) -> int:
        return self.count + len(self.late)

    def push(self, job: schedule.Job) -> None:
        """Adds a job that can still meet its target."""
        jobs = self.callers.setdefault(job.caller, collections.deque())
        jobs.append(job)
        self.count += 1

    def pop(self) -> schedule.Job:
        """Removes and returns the next job of the caller whose turn it is."""
        if not self.callers:
            return self.late.pop()
        caller, jobs = self.callers.popitem(last=False)
        job = jobs.popleft()
        if jobs:
            self.callers[caller] = jobs
        self.count -= 1
        return job

    def put_back(self, job: schedule.Job) -> None:
        """Returns a popped job to the queue; its caller gets the next turn."""
        jobs = self.callers.setdefault(job.caller, collections.deque())
        jobs.appendleft(job)
        self.callers.move_to_end(job.caller, last=False)
        self.count += 1

    def waiting(self) -> Iterator[schedule.Job]:
        """Yields all queued jobs."""
        for jobs in self.callers.values():
            yield from jobs
        yield from self.late

    def ahead_of(self, caller: str) -> int:
        """Returns how many jobs start before a new job of `caller` would."""
        turns = len(self.callers.get(caller, ())) + 1
        if turns > self.count:
            return self.count
        return (
            turns
            - 1
            + sum(
                min(len(jobs), turns)
                for name, jobs in self.callers.items()
                if name != caller
            )
        )

    def record_start(self, now: float) -> None:
        """Updates the smoothed start interval when a job starts."""
        if self.started_at is not None:
            observed_s = now - self.started_at
            weight = INTERVAL_SMOOTHING if self.interval_s else 1.0
            self.interval_s += weight * (observed_s - self.interval_s)
        self.started_at = now if len(self) else None

    def remove_if(
        self, predicate: Callable[[schedule.Job], bool]
    ) -> list[schedule.Job]:
        """Removes and returns all jobs for which `predicate` is true."""
        removed = [job for job in self.late if predicate(job)]
        self.late = [job for job in self.late if not predicate(job)]
        for caller, jobs in list(self.callers.items()):
            matching = [job for job in jobs if predicate(job)]
            if not matching:
                continue
            removed += matching
            remaining = [job for job in jobs if not predicate(job)]
            self.count -= len(matching)
            if remaining:
                self.callers[caller] = collections.deque(remaining)
            else:
                del self.callers[caller]
        return removed
