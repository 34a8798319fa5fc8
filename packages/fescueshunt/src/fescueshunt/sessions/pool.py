"""The connections of this host to one upstream."""

from __future__ import annotations

import collections
import dataclasses
import enum
from typing import TYPE_CHECKING

from fescueshunt.core import reconnect

if TYPE_CHECKING:
    import random

    from fescueshunt.core import replica_sets, session_items, sessions
    from fescueshunt.sessions import items

FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.8
MAX_OPENING = 2
# The part of the connections beyond all shares that one host may take.
BORROWED_SHARE = 1 / 3
# After the upstream had no connection left, nothing is borrowed for this long.
LIMITED_S = 0.5
# Connections that hosts take turns with come free every few milliseconds.
LIMIT_BACKOFF_S = 0.02
MULTIPLEXED_LINGER_S = 0.02
LINGER_S = 1.5
TELL_EVERY_S = 0.05
# With more connections than this of its own a host need not take turns.
SCARCE_SHARE = 2


class LinkState(enum.Enum):
    """What a connection to an upstream is doing."""

    OPENING = "opening"
    IDLE = "idle"
    WORKING = "working"
    HELD = "held"


@dataclasses.dataclass(slots=True, eq=False)
class Link:
    """A connection to an upstream.

    Attributes:
      values: the session values that it has now.
      prepared: the names of the prepared statements that it has now.
      client: whose transaction is open on it, or None.
      work: the statement in flight, or None.
      ask: the call of our own in flight, or None.
      steps: what is still to be sent; the first one is in flight.
      suspected: whether the call in flight was reported as slow.
      since: when it came into its state.
    """

    number: int
    upstream: str
    since: float
    state: LinkState = LinkState.OPENING
    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: set[str] = dataclasses.field(default_factory=set)
    client: int | None = None
    work: items.Work | None = None
    ask: session_items.CallUpstream | None = None
    sent_at: float = 0.0
    suspected: bool = False
    steps: collections.deque[sessions.UpstreamCall] = dataclasses.field(
        default_factory=collections.deque
    )

    def enter(self, state: LinkState, now: float) -> None:
        """Notes a new state."""
        self.state = state
        self.since = now


@dataclasses.dataclass(slots=True)
class Pool:
    """The connections to one upstream.

    Attributes:
      share: how many this host may always open.
      most: how many this host may open while others leave room.
      is_permanent: whether one connection is always kept.
      asks: calls of our own that wait for a connection.
      reconnect: when the next connection may be opened.
      heard_at: when the upstream last said anything.
      told_at: when the core was last told of that.
      refused: whether it last turned a connection away as not itself.
    """

    entry: replica_sets.UpstreamEntry
    share: int = 1
    most: int = 1
    limited_until: float = 0.0
    is_permanent: bool = False
    links: dict[int, Link] = dataclasses.field(default_factory=dict)
    asks: collections.deque[session_items.CallUpstream] = dataclasses.field(
        default_factory=collections.deque
    )
    reconnect: reconnect.ReconnectBackoff = dataclasses.field(
        default_factory=lambda: reconnect.ReconnectBackoff(
            FIRST_BACKOFF_S, MAX_BACKOFF_S
        )
    )
    heard_at: float = 0.0
    told_at: float = 0.0
    refused: bool = False

    def idle_links(self) -> list[Link]:
        """Returns the idle connections, the one idle for longest first."""
        idle = [
            link for link in self.links.values() if link.state is LinkState.IDLE
        ]
        return sorted(idle, key=lambda link: link.since)

    def count(self, state: LinkState) -> int:
        """Returns how many connections are in `state`."""
        return sum(link.state is state for link in self.links.values())

    @property
    def running(self) -> int:
        """How many statements are in flight."""
        return self.count(LinkState.WORKING)

    def may_open(self, now: float) -> bool:
        """Tells whether one more connection may be opened now."""
        if not self.reconnect.is_due(now):
            return False
        opening = self.count(LinkState.OPENING)
        if opening >= MAX_OPENING or (self.reconnect.failures and opening):
            return False
        if len(self.links) < self.share:
            return True
        return len(self.links) < self.most and now >= self.limited_until

    def opened(self) -> None:
        """Notes that a connection was opened."""
        self.reconnect.record_success()
        self.refused = False

    def is_news(self, now: float) -> bool:
        """Notes an answer; tells whether the core has to know of it yet."""
        self.heard_at = now
        if now - self.told_at < TELL_EVERY_S:
            return False
        self.told_at = now
        return True

    def reached_limit(self, now: float, chance: random.Random) -> None:
        """Notes that the upstream had no connection left."""
        self.limited_until = now + LIMITED_S
        self.heard_at = now
        wait_s = LIMIT_BACKOFF_S * chance.uniform(0.4, 1.0)
        self.reconnect.retry_at = now + wait_s

    def has_idle(self) -> bool:
        """Tells whether a connection is idle."""
        return any(link.state is LinkState.IDLE for link in self.links.values())

    def open_links(self) -> int:
        """Returns how many connections are open."""
        return len(self.links) - self.count(LinkState.OPENING)

    def surplus(self, now: float, multiplexing: bool) -> list[Link]:
        """Returns idle connections that nothing needed for a while.

        While hosts take turns, an idle connection goes back at once.
        """
        kept, linger_s = self.share, LINGER_S
        if multiplexing and self.share <= SCARCE_SHARE:
            kept, linger_s = 0, MULTIPLEXED_LINGER_S
        elif not self.is_permanent:
            kept = 0
        unused = [
            link for link in self.idle_links() if now - link.since > linger_s
        ]
        return unused[: max(len(self.links) - kept, 0)]
