"""When the replacement of a primary is expected to end.

A statement that needs the new primary waits for it only if that lies within
its time; any other one is better off with an answer at once.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fescueshunt.core import replica_sets

# What a move is expected to take before the first one was seen.
FIRST_MOVE_S = 1.5
# A move that takes so many times as long as expected may take for ever.
OVERRUN = 1.5


@dataclasses.dataclass(slots=True)
class Moves:
    """The moves under way, and how long the last ones took; seconds."""

    begun_at: dict[str, float] = dataclasses.field(default_factory=dict)
    expected_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def see(self, view: replica_sets.ReplicaSetView) -> bool:
        """Notes the beginning and the end of moves; tells of an end."""
        begun_at = self.begun_at.get(view.database)
        if view.is_moving and begun_at is None:
            self.begun_at[view.database] = view.at
            return False
        if not view.is_moving and begun_at is not None:
            del self.begun_at[view.database]
            self.expected_s[view.database] = view.at - begun_at
            return True
        return False

    def ends_at(self, database: str, now: float) -> float | None:
        """Returns when the move is expected to end.

        None if none is under way; infinity if it takes too long already.
        """
        begun_at = self.begun_at.get(database)
        if begun_at is None:
            return None
        expected_s = self.expected_s.get(database, FIRST_MOVE_S)
        if now - begun_at > expected_s * OVERRUN:
            return float("inf")
        return max(begun_at + expected_s, now)
