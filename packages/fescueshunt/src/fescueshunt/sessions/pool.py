"""The connection pool of this host for one upstream."""

from __future__ import annotations

import collections
import dataclasses
import enum
from typing import TYPE_CHECKING

from fescueshunt.core import connection_settings, reconnect

if TYPE_CHECKING:
    import random

    from fescueshunt.core import replica_sets, session_items, sessions
    from fescueshunt.sessions import items

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.8
MAX_OPENING = 2
# The fraction of the connections beyond all fair shares that one host may use.
BORROWED_SHARE = 1 / 3
# What a lender has told of an upstream counts half after this time.
EXPECTED_HALF_LIFE_S = 1.0
# How many connections to one upstream this host may have on loan.
MAX_LOANS = 24
# The fraction of its connections that one host may use at an upstream that has
# fewer of them than there are hosts.
SCARCE_SHARE = 1 / 8
# To open a connection occupies an upstream for longer than most statements do,
# so it is kept for some time even where connections are scarce.
SCARCE_IDLE_TIMEOUT_S = 0.2
# After the upstream reached its connection limit, this host opens no
# connections beyond its fair share for this long.
BORROW_PAUSE_S = 0.5
# While hosts take turns at the connections of an upstream that has reached its
# connection limit, one becomes free every few milliseconds.
LIMIT_BACKOFF_S = 0.02
TIME_SHARING_IDLE_TIMEOUT_S = 0.02
IDLE_TIMEOUT_S = 1.5
REPLY_REPORT_INTERVAL_S = 0.05
# A host whose fair share is larger than this does not take turns with others.
MAX_TIME_SHARING_FAIR_SHARE = 2


class ConnectionState(enum.Enum):
    """The state of a connection to an upstream.

    WORKING: a call is in flight. HELD: a client's transaction is open on the
    connection, and no call is in flight.
    """

    OPENING = "opening"
    IDLE = "idle"
    WORKING = "working"
    HELD = "held"


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """A connection to an upstream.

    Attributes:
      number: the id of the connection on this host.
      upstream: the id of the upstream.
      account: the client account whose statements it runs; "" for statements
        that belong to none. It never changes.
      state_since: when the connection entered its state; local clock, seconds.
      lender: the host that lends it; "" for a connection of this host.
      priority: the priority of the statement that it was borrowed for.
      state: its state.
      settings: the values and prepared statements that it holds.
      client: the client whose transaction is open on it, or None.
      job: the client's statement in flight, or None.
      control_request: the control request in flight, or None.
      sent_at: when the latest call was sent; local clock, seconds.
      reported_slow: whether the call in flight was reported as slow.
      pending_calls: the calls without a reply; the first one is in flight.
    """

    number: int
    upstream: str
    state_since: float
    account: str = ""
    lender: str = ""
    priority: int = 0
    state: ConnectionState = ConnectionState.OPENING
    settings: connection_settings.ConnectionSettings = dataclasses.field(
        default_factory=connection_settings.ConnectionSettings
    )
    client: int | None = None
    job: items.StatementJob | None = None
    control_request: session_items.CallUpstream | None = None
    sent_at: float = 0.0
    reported_slow: bool = False
    pending_calls: collections.deque[sessions.UpstreamCall] = dataclasses.field(
        default_factory=collections.deque
    )

    def set_state(self, state: ConnectionState, now: float) -> None:
        """Enters `state`."""
        self.state = state
        self.state_since = now


@dataclasses.dataclass(slots=True)
class ConnectionPool:
    """The connections to one upstream and the limits on opening more.

    Times are seconds of the local clock.

    Attributes:
      entry: the upstream's entry in the platform's store.
      fair_share: how many connections this host may open at any time.
      max_size: how many it may open in all while borrowing is not paused.
      borrowing_paused_until: until then it opens no more than its fair share.
      is_scarce: whether the upstream has fewer connections than there are
        hosts. Each host then holds one only while it uses it.
      is_permanent: whether one connection always stays open.
      is_lent: whether another host lends connections to the upstream.
        Statements then wait for a slot at the lender.
      expected_s: how long a statement took there when the lender told last,
        with its wait; in seconds.
      expected_at: when it told that; local clock, seconds.
      congested_until: until when the lender refuses requests, by priority; it
        then refuses less urgent ones as well.
      connections: the connections by number, including those being opened.
      waiting_requests: the control requests that wait for a connection.
      reconnect: the back-off that decides when the next one may be opened.
      last_reply_at: when the upstream last responded to a call or to an attempt
        to connect.
      last_reported_at: when a reply was last reported to the other pipes.
      is_wrong_upstream: whether the last failed connection was refused because
        another upstream answered at the address.
    """

    entry: replica_sets.UpstreamEntry
    fair_share: int = 1
    max_size: int = 1
    borrowing_paused_until: float = 0.0
    is_scarce: bool = False
    is_permanent: bool = False
    is_lent: bool = False
    expected_s: float = 0.0
    expected_at: float = 0.0
    congested_until: dict[int, float] = dataclasses.field(default_factory=dict)
    connections: dict[int, Connection] = dataclasses.field(default_factory=dict)
    waiting_requests: collections.deque[session_items.CallUpstream] = (
        dataclasses.field(default_factory=collections.deque)
    )
    reconnect: reconnect.ReconnectBackoff = dataclasses.field(
        default_factory=lambda: reconnect.ReconnectBackoff(
            INITIAL_BACKOFF_S, MAX_BACKOFF_S
        )
    )
    last_reply_at: float = 0.0
    last_reported_at: float = 0.0
    is_wrong_upstream: bool = False

    def idle_connections(self) -> list[Connection]:
        """Returns the idle connections, the longest idle first."""
        idle = [
            conn
            for conn in self.connections.values()
            if conn.state is ConnectionState.IDLE
        ]
        return sorted(idle, key=lambda conn: conn.state_since)

    def idle_connections_of(self, account: str) -> list[Connection]:
        """Returns the idle connections that run statements of `account`."""
        return [
            conn for conn in self.idle_connections() if conn.account == account
        ]

    def opening_count_of(self, account: str) -> int:
        """Returns the number of connections being opened for `account`."""
        return sum(
            conn.state is ConnectionState.OPENING and conn.account == account
            for conn in self.connections.values()
        )

    def count(self, state: ConnectionState) -> int:
        """Returns the number of connections in `state`."""
        return sum(conn.state is state for conn in self.connections.values())

    @property
    def running_calls(self) -> int:
        """The number of calls in flight."""
        return self.count(ConnectionState.WORKING)

    def may_open(self, now: float) -> bool:
        """Returns whether one more connection may be opened now."""
        return self.is_open_due(now) and self.has_room(now)

    def may_borrow(self, priority: int, now: float) -> bool:
        """Returns whether the lender may be asked for one more connection."""
        has_room = len(self.connections) < MAX_LOANS
        return has_room and not self.is_congested(priority, now)

    def is_congested(self, priority: int, now: float) -> bool:
        """Returns whether the lender refuses requests of a priority."""
        return any(
            now < until
            for refused, until in self.congested_until.items()
            if refused <= priority
        )

    def record_expected(self, expected_s: float, now: float) -> None:
        """Records how long the lender says that a statement takes."""
        self.expected_s, self.expected_at = expected_s, now

    def expected_now_s(self, now: float) -> float:
        """Returns how long a statement is expected to take, in seconds.

        What was told some time ago counts less and less, so that an upstream
        that was slow is tried again.
        """
        age_s = max(now - self.expected_at, 0.0)
        return self.expected_s * 0.5 ** (age_s / EXPECTED_HALF_LIFE_S)

    def usable_count(self) -> int:
        """Returns how many statements may run at the upstream at once."""
        if self.is_lent:
            return max(self.open_count(), self.entry.slots)
        return self.open_count()

    def is_open_due(self, now: float) -> bool:
        """Returns whether a connection may be opened if there is room."""
        if not self.reconnect.is_due(now):
            return False
        opening = self.count(ConnectionState.OPENING)
        return opening < MAX_OPENING and not (
            self.reconnect.failures and opening
        )

    def has_room(self, now: float) -> bool:
        """Returns whether this host may have one more connection."""
        if len(self.connections) < self.fair_share:
            return True
        return (
            len(self.connections) < self.max_size
            and now >= self.borrowing_paused_until
        )

    def takes_turns(self, time_sharing: bool) -> bool:
        """Returns whether hosts take turns at the upstream's connections.

        Args:
          time_sharing: whether small pools do so at present.
        """
        is_small = self.fair_share <= MAX_TIME_SHARING_FAIR_SHARE
        return self.is_scarce or self.is_lent or (time_sharing and is_small)

    def record_opened(self) -> None:
        """Records that a connection was opened; resets the back-off."""
        self.reconnect.record_success()
        self.is_wrong_upstream = False

    def record_reply(self, now: float) -> bool:
        """Records a reply; returns whether to report it to the other pipes.

        Replies are reported at most once per `REPLY_REPORT_INTERVAL_S`.
        """
        self.last_reply_at = now
        if now - self.last_reported_at < REPLY_REPORT_INTERVAL_S:
            return False
        self.last_reported_at = now
        return True

    def record_limit(self, now: float, rng: random.Random) -> None:
        """Records that the upstream reached its connection limit."""
        self.borrowing_paused_until = now + BORROW_PAUSE_S
        self.last_reply_at = now
        backoff_s = LIMIT_BACKOFF_S * rng.uniform(0.4, 1.0)
        self.reconnect.retry_at = now + backoff_s

    def has_idle(self) -> bool:
        """Returns whether at least one connection is idle."""
        return any(
            conn.state is ConnectionState.IDLE
            for conn in self.connections.values()
        )

    def open_count(self) -> int:
        """Returns the number of open connections."""
        return len(self.connections) - self.count(ConnectionState.OPENING)

    def surplus_connections(
        self, now: float, time_sharing: bool
    ) -> list[Connection]:
        """Returns the connections to close because they were idle too long.

        A permanent pool keeps its fair share. While hosts take turns
        at connections, a pool keeps none, and its connections close after a
        much shorter idle time.
        """
        min_kept, idle_timeout_s = self.fair_share, IDLE_TIMEOUT_S
        if self.is_scarce or self.is_lent:
            min_kept, idle_timeout_s = 0, SCARCE_IDLE_TIMEOUT_S
        elif self.takes_turns(time_sharing):
            min_kept, idle_timeout_s = 0, TIME_SHARING_IDLE_TIMEOUT_S
        elif not self.is_permanent:
            min_kept = 0
        unused = [
            conn
            for conn in self.idle_connections()
            if now - conn.state_since > idle_timeout_s
        ]
        return unused[: max(len(self.connections) - min_kept, 0)]
