"""Which of the work queued for an upstream starts next, and what never will."""

from __future__ import annotations

import abc
import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fescueshunt.request import items

FIRST_SERVICE_S = 0.01
SERVICE_WEIGHT = 0.1


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
        self._seen: dict[tuple[str, str], float] = {}

    def note(self, work: items.Work, seen_s: float) -> None:
        """Takes in one observation."""
        key = (work.service.name, work.req.kind)
        known_s = self._seen.get(key)
        if known_s is None:
            self._seen[key] = seen_s
        else:
            self._seen[key] = known_s + SERVICE_WEIGHT * (seen_s - known_s)

    def of(self, work: items.Work) -> float:
        """Returns how long `work` is expected to hold a slot."""
        key = (work.service.name, work.req.kind)
        return self._seen.get(key, FIRST_SERVICE_S)


class Schedule(abc.ABC):
    """The queue of one upstream."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Returns how much work waits."""

    @abc.abstractmethod
    def offer(self, work: items.Work, now: float, slots: Slots) -> float | None:
        """Queues `work`, or returns the wait for which it is refused."""

    @abc.abstractmethod
    def pop(
        self, now: float, slots: Slots
    ) -> tuple[items.Work | None, list[items.Work]]:
        """Returns the work to start, if any, and work to refuse instead."""

    @abc.abstractmethod
    def cut(self, now: float) -> list[items.Work]:
        """Takes out and returns the work whose deadline has passed."""

    @abc.abstractmethod
    def clear(self) -> list[items.Work]:
        """Takes out and returns all work."""

    @abc.abstractmethod
    def released(self, work: items.Work, held_s: float) -> None:
        """Learns that `work` held its slot for `held_s` seconds."""

    @abc.abstractmethod
    def set_floors(self, floors: Mapping[str, float]) -> None:
        """Replaces the declared floors of the ranks named in `floors`."""


class Fifo(Schedule):
    """First come, first served, whatever the rank; a baseline."""

    def __init__(self) -> None:
        self._queue: collections.deque[items.Work] = collections.deque()

    def __len__(self) -> int:
        """Returns how much work waits."""
        return len(self._queue)

    def offer(self, work: items.Work, now: float, slots: Slots) -> float | None:
        """Queues `work`."""
        self._queue.append(work)

    def pop(
        self, now: float, slots: Slots
    ) -> tuple[items.Work | None, list[items.Work]]:
        """Returns the oldest work."""
        return (self._queue.popleft() if self._queue else None), []

    def cut(self, now: float) -> list[items.Work]:
        """Takes out the work whose deadline has passed."""
        over = [work for work in self._queue if work.deadline <= now]
        if over:
            kept = (work for work in self._queue if work.deadline > now)
            self._queue = collections.deque(kept)
        return over

    def clear(self) -> list[items.Work]:
        """Takes out all work."""
        taken = list(self._queue)
        self._queue.clear()
        return taken

    def released(self, work: items.Work, held_s: float) -> None:
        """Learns nothing."""

    def set_floors(self, floors: Mapping[str, float]) -> None:
        """Has no floors."""
