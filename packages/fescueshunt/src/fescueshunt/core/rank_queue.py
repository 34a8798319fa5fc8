"""The queue of one rank: callers take turns."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from fescueshunt.core import scheduling

PACE_WEIGHT = 0.2


@dataclasses.dataclass(slots=True)
class RankQueue:
    """Queued work of one rank.

    Attributes:
      callers: the work that can still meet its target, by caller; the caller
        whose turn is next comes first.
      late: work whose target was over when it came; the newest goes first,
        and only while nothing else of the rank waits.
      credit_s: slot time that the floor of the rank owes to it; seconds.
      interval_s: smoothed time between two starts while work waited.
      started_at: the last start if work waited since, else None.
    """

    callers: collections.OrderedDict[str, collections.deque[scheduling.Job]] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )
    late: list[scheduling.Job] = dataclasses.field(default_factory=list)
    count: int = 0
    credit_s: float = 0.0
    interval_s: float = 0.0
    started_at: float | None = None

    def __len__(self) -> int:
        return self.count + len(self.late)

    def push(self, work: scheduling.Job) -> None:
        """Adds work that can meet its target."""
        own = self.callers.setdefault(work.caller, collections.deque())
        own.append(work)
        self.count += 1

    def pop(self) -> scheduling.Job:
        """Takes the next work, of the caller whose turn it is."""
        if not self.callers:
            return self.late.pop()
        caller, own = self.callers.popitem(last=False)
        work = own.popleft()
        if own:
            self.callers[caller] = own
        self.count -= 1
        return work

    def put_back(self, work: scheduling.Job) -> None:
        """Returns work that was taken; its caller's turn comes first again."""
        own = self.callers.setdefault(work.caller, collections.deque())
        own.appendleft(work)
        self.callers.move_to_end(work.caller, last=False)
        self.count += 1

    def waiting(self) -> Iterator[scheduling.Job]:
        """Yields all work that waits."""
        for own in self.callers.values():
            yield from own
        yield from self.late

    def ahead_of(self, caller: str) -> int:
        """Returns how much work starts before the next of `caller`."""
        turns = len(self.callers.get(caller, ())) + 1
        if turns > self.count:
            return self.count
        return (
            turns
            - 1
            + sum(
                min(len(queue), turns)
                for name, queue in self.callers.items()
                if name != caller
            )
        )

    def note_start(self, now: float) -> None:
        """Learns the pace at which waiting work starts."""
        if self.started_at is not None:
            seen_s = now - self.started_at
            weight = PACE_WEIGHT if self.interval_s else 1.0
            self.interval_s += weight * (seen_s - self.interval_s)
        self.started_at = now if len(self) else None

    def remove_if(
        self, is_over: Callable[[scheduling.Job], bool]
    ) -> list[scheduling.Job]:
        """Takes out all work of which `is_over` is true."""
        taken = [work for work in self.late if is_over(work)]
        self.late = [work for work in self.late if not is_over(work)]
        for caller, own in list(self.callers.items()):
            over = [work for work in own if is_over(work)]
            if not over:
                continue
            taken += over
            kept = [work for work in own if not is_over(work)]
            self.count -= len(over)
            if kept:
                self.callers[caller] = collections.deque(kept)
            else:
                del self.callers[caller]
        return taken
