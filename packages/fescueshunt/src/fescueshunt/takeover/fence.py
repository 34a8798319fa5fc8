"""The fence around a replica set: no commit can be acknowledged behind it.

A commit stands on the primary and one replica at least. So once all members but
one are paused or have stepped down, none can be acknowledged in the old term,
and the highest position among them covers every one that was.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from fescueshunt.core import position, replica_sets, session_items, sessions

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from fescueshunt.core import filters

CALL_TIMEOUT_S = 0.5
MAX_ROUNDS = 4


class Taken(enum.Enum):
    """What a member's reply to the fence means.

    HIGHER: it knows of a term as high as the fence's, which has to rise.
    """

    FENCED = "fenced"
    LEADS = "leads"
    HIGHER = "higher"
    NOT_YET = "not yet"


class Fence:
    """Who is fenced, and where.

    Attributes:
      term: the term that the members are paused with.
      ends: the final position of each member that is fenced.
      stepped_down: whether the old primary is among them.
    """

    def __init__(
        self,
        members: Mapping[str, replica_sets.UpstreamEntry],
        old_primary: str,
        term: int,
    ) -> None:
        self.term = term
        self.ends: dict[str, position.Position] = {}
        self.stepped_down = False
        self._members = members
        self._old_primary = old_primary
        self._rounds = 0

    def calls(self, now: float) -> Iterator[filters.Item]:
        """Yields a call to every member that is not fenced yet."""
        for upstream in self._members:
            if upstream not in self.ends:
                yield session_items.CallUpstream(
                    now, upstream, self.call_for(upstream), now + CALL_TIMEOUT_S
                )

    def call_for(self, upstream: str) -> sessions.UpstreamCall:
        """Returns the call that fences a member."""
        if upstream == self._old_primary:
            return sessions.StepDown(self.term)
        return sessions.Pause(self.term)

    def take(self, upstream: str, status: sessions.ReplicaStatus) -> Taken:
        """Notes the reply to such a call."""
        is_primary = status.role is sessions.ReplicaRole.PRIMARY
        if is_primary and upstream != self._old_primary:
            return Taken.LEADS
        stepped_down = upstream == self._old_primary and not is_primary
        if not stepped_down and status.paused_term != self.term:
            highest = max(status.term, status.paused_term)
            return Taken.HIGHER if highest >= self.term else Taken.NOT_YET
        self.stepped_down = self.stepped_down or stepped_down
        self.ends[upstream] = status.received
        return Taken.FENCED

    def rise(self, status: sessions.ReplicaStatus) -> bool:
        """Begins anew above a term not known before; False: too often."""
        self.term = max(status.term, status.paused_term) + 1
        self.ends.clear()
        self._rounds += 1
        return self._rounds <= MAX_ROUNDS

    def is_whole(self) -> bool:
        """Tells whether all members but one are fenced."""
        return len(self.ends) >= self.needed

    @property
    def needed(self) -> int:
        """How many members have to be fenced.

        An old primary that is not among them any more may still be alive
        somewhere, so then no replica may be missing.
        """
        spared = 1 if self._old_primary in self._members else 0
        return max(len(self._members) - spared, 1)

    def narrow(self) -> None:
        """Keeps the old primary only: it has every commit by itself."""
        self.ends = {self._old_primary: self.ends[self._old_primary]}

    def choose(self) -> str:
        """Returns who leads next: the newest log, staying before leaving."""
        newest = max(self.ends.values())
        able = [name for name, end in self.ends.items() if end == newest]
        return min(
            able,
            key=lambda name: (
                self._members[name].draining or not self._members[name].listed,
                name == self._old_primary,
                name,
            ),
        )
