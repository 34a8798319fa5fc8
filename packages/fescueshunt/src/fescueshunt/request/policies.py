"""The policies of a proxy, selected by name in its configuration."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import homes, ranked, schedule
from fescueshunt.request import choose

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

HOME_POLICIES: Mapping[str, Callable[[], homes.HomeAssignment]] = {
    "one": homes.SingleHome,
    "split": homes.SplitPools,
}
SCHEDULE_POLICIES: Mapping[str, Callable[[], schedule.Scheduler]] = {
    "ranked": ranked.PriorityScheduler,
    "fifo": schedule.FifoScheduler,
}
READ_PREFERENCES: Mapping[str, Callable[[], choose.ReadPreference]] = {
    "nearest": choose.NearestReplica,
    "primary": choose.PrimaryOnly,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """The policies for connection pools, queues and reads.

    Attributes:
      homes: decides which proxy is the home proxy of an upstream.
      schedule: creates the queue of one upstream.
      read_preference: decides which reads need the primary.
    """

    homes: homes.HomeAssignment = dataclasses.field(
        default_factory=homes.SingleHome
    )
    schedule: Callable[[], schedule.Scheduler] = ranked.PriorityScheduler
    read_preference: choose.ReadPreference = dataclasses.field(
        default_factory=choose.NearestReplica
    )


def make_policy(pools: str, queues: str, reads: str) -> Policy:
    """Returns the policies with the given names.

    Args:
      pools: a key of HOME_POLICIES.
      queues: a key of SCHEDULE_POLICIES.
      reads: a key of READ_PREFERENCES.

    Raises:
      KeyError: if a name is unknown.
    """
    return Policy(
        HOME_POLICIES[pools](),
        SCHEDULE_POLICIES[queues],
        READ_PREFERENCES[reads](),
    )
