"""Which of the work that waits starts next, and what never will.

Both front ends queue by it: that of requests at each upstream, that of sessions
at the members of a replica set.
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
    """Work that a schedule can order.

    Attributes:
      rank: its rank.
      deadline: it is of no use afterwards; local clock, seconds.
      in_doubt: whether an earlier attempt may have run, so that it has to be
        settled, however late.
    """

    __slots__ = ()

    rank: ranks.Rank
    deadline: float
    in_doubt: bool

    @property
    @abc.abstractmethod
    def caller(self) -> str:
        """Whose it is; callers take turns."""

    @property
    @abc.abstractmethod
    def kind(self) -> Hashable:
        """Work of one kind takes about as long."""

    @property
    @abc.abstractmethod
    def submitted_at(self) -> float:
        """When it arrived; local clock, seconds."""

    @property
    def target_at(self) -> float:
        """When it must be answered to be worth its full value."""
        return min(self.submitted_at + self.rank.target_s, self.deadline)


@dataclasses.dataclass(frozen=True, slots=True)
class Slots:
    """The slots of one upstream: how many, and what each rank runs on them.

    `running` counts by the order of the rank.
    """

    total: int
    running: Mapping[int, int]

    @property
    def busy(self) -> int:
        """How many slots are taken."""
        return sum(self.running.values())


class ServiceTimes:
    """Learns how long each kind of work holds a slot; seconds."""

    def __init__(self) -> None:
        self._seen: dict[Hashable, float] = {}

    def note(self, work: Job, seen_s: float) -> None:
        """Takes in one observation."""
        known_s = self._seen.get(work.kind, seen_s)
        change_s = SERVICE_SMOOTHING * (seen_s - known_s)
        self._seen[work.kind] = known_s + change_s

    def of(self, work: Job) -> float:
        """Returns how long `work` is expected to hold a slot."""
        return self._seen.get(work.kind, INITIAL_SERVICE_S)


class Scheduler(abc.ABC):
    """The queue of one upstream."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Returns how much work waits."""

    @abc.abstractmethod
    def offer(self, work: Job, now: float, slots: Slots) -> float | None:
        """Queues `work`, or returns the wait for which it is refused."""

    @abc.abstractmethod
    def pop(self, now: float, slots: Slots) -> tuple[Job | None, list[Job]]:
        """Returns the work to start, if any, and work to refuse instead."""

    @abc.abstractmethod
    def started(self, work: Job, now: float) -> None:
        """Learns that `work`, which was popped, holds a slot now."""

    @abc.abstractmethod
    def put_back(self, work: Job) -> None:
        """Returns popped work that could not start; it goes first again."""

    @abc.abstractmethod
    def waiting(self) -> Iterator[Job]:
        """Yields all work that waits, in no particular order."""

    @abc.abstractmethod
    def remove_if(self, is_over: Callable[[Job], bool]) -> list[Job]:
        """Takes out and returns the work of which `is_over` is true."""

    def remove_expired(self, now: float) -> list[Job]:
        """Takes out and returns the work whose deadline has passed."""
        return self.remove_if(lambda work: work.deadline <= now)

    def clear(self) -> list[Job]:
        """Takes out and returns all work."""
        return self.remove_if(lambda _: True)

    @abc.abstractmethod
    def released(self, work: Job, held_s: float) -> None:
        """Learns that `work` held its slot for `held_s` seconds."""

    @abc.abstractmethod
    def set_floors(self, floors: Mapping[str, float]) -> None:
        """Replaces the declared floors of the ranks named in `floors`."""


class FifoScheduler(Scheduler):
    """First come, first served, whatever the rank; a baseline."""

    def __init__(self) -> None:
        self._queue: collections.deque[Job] = collections.deque()

    def __len__(self) -> int:
        """Returns how much work waits."""
        return len(self._queue)

    def offer(self, work: Job, now: float, slots: Slots) -> float | None:
        """Queues `work`."""
        self._queue.append(work)

    def pop(self, now: float, slots: Slots) -> tuple[Job | None, list[Job]]:
        """Returns the oldest work."""
        return (self._queue.popleft() if self._queue else None), []

    def started(self, work: Job, now: float) -> None:
        """Charges nothing."""

    def put_back(self, work: Job) -> None:
        """Returns popped work to the head."""
        self._queue.appendleft(work)

    def waiting(self) -> Iterator[Job]:
        """Yields all work, the oldest first."""
        return iter(self._queue)

    def remove_if(self, is_over: Callable[[Job], bool]) -> list[Job]:
        """Takes out the work of which `is_over` is true."""
        over = [work for work in self._queue if is_over(work)]
        if over:
            kept = (work for work in self._queue if not is_over(work))
            self._queue = collections.deque(kept)
        return over

    def released(self, work: Job, held_s: float) -> None:
        """Learns nothing."""

    def set_floors(self, floors: Mapping[str, float]) -> None:
        """Has no floors."""
