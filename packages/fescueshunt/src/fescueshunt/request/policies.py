"""The policies of a proxy, each chosen by the name in its settings."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import homes, ranked, schedule
from fescueshunt.request import choose

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

HOMES: Mapping[str, Callable[[], homes.Homes]] = {
    "one": homes.OneHome,
    "split": homes.SplitPools,
}
SCHEDULES: Mapping[str, Callable[[], schedule.Scheduler]] = {
    "ranked": ranked.PriorityScheduler,
    "fifo": schedule.FifoScheduler,
}
PLACEMENTS: Mapping[str, Callable[[], choose.Placement]] = {
    "nearest": choose.NearestReplica,
    "primary": choose.PrimaryOnly,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """How a proxy shares out connections, slots and reads.

    Attributes:
      homes: who holds the pool and the queue of an upstream.
      schedule: makes the queue of one upstream.
      placement: where reads go.
    """

    homes: homes.Homes = dataclasses.field(default_factory=homes.OneHome)
    schedule: Callable[[], schedule.Scheduler] = ranked.PriorityScheduler
    placement: choose.Placement = dataclasses.field(
        default_factory=choose.NearestReplica
    )


def by_name(pools: str, queues: str, reads: str) -> Policy:
    """Returns the policy with these names."""
    return Policy(HOMES[pools](), SCHEDULES[queues], PLACEMENTS[reads]())
