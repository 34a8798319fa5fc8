"""The connections to one upstream that this host lends, and their queue.

Requests go by rank, and within a rank accounts take turns. A request starts
only while fewer calls run at the upstream than it takes well. What waits does
so here, where its rank counts, and not at the upstream.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from typing import TYPE_CHECKING

from fescueshunt.core import (
    connection_settings,
    learned_limit,
    ranked,
    routes,
    schedule,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import loans, ranks, replica_sets, sessions

# The fraction of an upstream's connections that its lender may hold. The others
# are for hosts that can't reach it, and for calls of the hosts themselves.
LENDER_SHARE = 0.7
# The first call on a lent connection is expected within this time.
FIRST_CALL_S = 0.05
IDLE_TIMEOUT_S = 30.0
OPEN_TIMEOUT_S = 1.0
# A borrower that is silent about a loan for so long is gone.
SILENCE_TIMEOUT_S = 10.0
WAIT_SMOOTHING = 0.2


class LoanState(enum.Enum):
    """The state of a connection that this host lends.

    LENT: a borrower decides what runs on it.
    """

    OPENING = "opening"
    IDLE = "idle"
    LENT = "lent"


@dataclasses.dataclass(slots=True, eq=False)
class Loan(schedule.Job):
    """A request for a connection, until its loan ends.

    Attributes:
      link: the id of the link to the borrower.
      host: the name of the borrower.
      request: what the borrower asked for.
      requested_at: when the request arrived; local clock, seconds.
      deadline: when the request is dropped; local clock, seconds.
      conn: the connection that is opened for it or lent to it, or None.
      busy_s: how long calls of the loan have run in all, in seconds.
    """

    link: int
    host: str
    request: loans.LoanRequest
    requested_at: float
    deadline: float
    conn: LoanConnection | None = None
    busy_s: float = 0.0

    @property
    def rank(self) -> ranks.Rank:
        """The rank of the statement that waits."""
        return routes.rank_of(self.request.priority)

    @property
    def caller(self) -> str:
        """The account, or the borrower where accounts are not in use."""
        return self.request.account or self.host

    @property
    def kind(self) -> int:
        """Loans for statements of one priority take about as long."""
        return self.request.priority

    @property
    def submitted_at(self) -> float:
        """When the request arrived."""
        return self.requested_at

    @property
    def target_at(self) -> float:
        """The time until which an answer has its full value."""
        return self.requested_at + self.request.target_s

    @property
    def in_doubt(self) -> bool:
        """Always False: a request can be refused at any time."""
        return False


@dataclasses.dataclass(slots=True, eq=False)
class LoanConnection:
    """A connection to the upstream.

    Attributes:
      number: the id of the connection on this host.
      account: the client account whose statements it runs, or "".
      state: its state.
      state_since: when it entered its state; local clock, seconds.
      settings: the values and prepared statements that it holds.
      loan: the loan that it is opened for or lent to, or None.
      call: the call in flight, or None.
      called_at: when the last call was sent; local clock, seconds.
      heard_at: when the borrower last sent a message about the loan.
      in_transaction: whether a transaction is open on it.
      has_called: whether the borrower has sent a call since it was lent.
    """

    number: int
    account: str
    state: LoanState
    state_since: float
    settings: connection_settings.ConnectionSettings = dataclasses.field(
        default_factory=connection_settings.ConnectionSettings
    )
    loan: Loan | None = None
    call: sessions.UpstreamCall | None = None
    called_at: float = 0.0
    heard_at: float = 0.0
    in_transaction: bool = False
    has_called: bool = False

    def is_active(self, now: float) -> bool:
        """Returns whether it occupies a slot of the upstream, or will soon."""
        if self.state is LoanState.OPENING:
            return True
        if self.call is not None:
            return not connection_settings.is_setup_call(self.call)
        return (
            self.state is LoanState.LENT
            and not self.has_called
            and now - self.state_since < FIRST_CALL_S
        )

    def setup_cost(self, request: loans.LoanRequest) -> int:
        """Returns how many calls have to precede the requested statement."""
        setup = self.settings.plan_setup(request.values, request.prepared)
        return setup.call_count


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """A request that starts.

    Attributes:
      loan: the request.
      conn: an idle connection, or a new one that is to be opened.
      evicted: a connection to close before, or None.
    """

    loan: Loan
    conn: LoanConnection
    evicted: LoanConnection | None = None


class LoanPool:
    """Lends the connections to one upstream.

    Attributes:
      entry: the upstream's entry.
      max_connections: how many connections this host may hold.
      learned: how many calls the upstream runs well at once.
      paused_until: no connection is opened until then, as the upstream has
        refused one; local clock, seconds.
      connections: the connections by number.
      recent_wait_s: how long requests have waited lately, in seconds.
    """

    def __init__(self, entry: replica_sets.UpstreamEntry) -> None:
        self.entry = entry
        self.max_connections = 1
        self.learned = learned_limit.LearnedLimit(entry.slots)
        self.paused_until = 0.0
        self.connections: dict[int, LoanConnection] = {}
        self.recent_wait_s = 0.0
        self._queue: schedule.Scheduler = ranked.PriorityScheduler()

    def set_max_connections(self, upstream_limit: int) -> None:
        """Sets the share of the connections that the upstream accepts."""
        self.max_connections = max(int(upstream_limit * LENDER_SHARE), 1)

    def __len__(self) -> int:
        """Returns the number of requests that wait."""
        return len(self._queue)

    def add(self, loan: Loan, now: float) -> float | None:
        """Queues a request; returns how long it would wait if it can't."""
        return self._queue.offer(loan, now, self._slots(now))

    def remove(self, loan: Loan) -> None:
        """Removes a request that waits."""
        self._queue.remove_if(lambda each: each is loan)

    def remove_expired(self, now: float) -> list[Loan]:
        """Removes and returns the requests that have waited too long."""
        return self._queue.remove_expired(now)

    def put_back(self, loan: Loan) -> None:
        """Queues a request again whose connection could not be opened."""
        self._queue.put_back(loan)

    def starts(
        self, number_source: Iterator[int], now: float
    ) -> Iterator[Start | Loan]:
        """Yields the requests that start, and the loans that are refused.

        Args:
          number_source: numbers for new connections.
          now: the current time; local clock, seconds.
        """
        unassigned: list[Loan] = []
        try:
            while len(self._queue) and self._has_free_slot(now):
                loan, late = self._queue.pop(now, self._slots(now))
                yield from late
                if loan is None:
                    break
                start = self._find_connection(loan, number_source, now)
                if start is None:
                    unassigned.append(loan)
                    continue
                self._record_start(start, now)
                yield start
        finally:
            for loan in reversed(unassigned):
                self._queue.put_back(loan)

    def _has_free_slot(self, now: float) -> bool:
        return self.active_count(now) < int(self.learned.limit)

    def _find_connection(
        self, loan: Loan, number_source: Iterator[int], now: float
    ) -> Start | None:
        idle = [
            conn
            for conn in self.connections.values()
            if conn.state is LoanState.IDLE
        ]
        usable = [c for c in idle if c.account == loan.request.account]
        if usable:
            request = loan.request
            return Start(loan, min(usable, key=lambda c: c.setup_cost(request)))
        if now < self.paused_until:
            return None
        evicted = None
        if len(self.connections) >= self.max_connections:
            if self._comes_back(loan.request.account):
                return None
            evicted = min(idle, key=lambda c: c.state_since, default=None)
            if evicted is None:
                return None
        conn = LoanConnection(
            next(number_source), loan.request.account, LoanState.OPENING, now
        )
        return Start(loan, conn, evicted)

    def _comes_back(self, account: str) -> bool:
        """Returns whether a connection of an account will be free shortly."""
        return any(
            conn.account == account and not conn.in_transaction
            for conn in self.connections.values()
        )

    def _record_start(self, start: Start, now: float) -> None:
        conn, loan = start.conn, start.loan
        if start.evicted is not None:
            del self.connections[start.evicted.number]
        self.connections[conn.number] = conn
        conn.loan, loan.conn = loan, conn
        conn.heard_at = now
        conn.has_called = False
        if conn.state is LoanState.IDLE:
            conn.state = LoanState.LENT
        conn.state_since = now
        self._queue.started(loan, now)
        waited_s = now - loan.requested_at
        self.recent_wait_s += WAIT_SMOOTHING * (waited_s - self.recent_wait_s)

    def expected_s(self, loan: Loan) -> float:
        """Returns how long a loan like this takes at present, with its wait."""
        return self.recent_wait_s + self.learned.service_s((loan.kind, True))

    def release(self, conn: LoanConnection, now: float) -> None:
        """Takes a connection back that its borrower returned."""
        loan = self.detach(conn)
        conn.state, conn.state_since = LoanState.IDLE, now
        conn.in_transaction = False
        if loan is not None and loan.busy_s:
            self._queue.released(loan, loan.busy_s)

    def detach(self, conn: LoanConnection) -> Loan | None:
        """Parts a connection from its loan, and returns that."""
        loan, conn.loan = conn.loan, None
        if loan is not None:
            loan.conn = None
        return loan

    def idle_too_long(self, now: float) -> list[LoanConnection]:
        """Returns the connections that nobody has borrowed for long."""
        return self._in_state_since(LoanState.IDLE, now - IDLE_TIMEOUT_S)

    def overdue(self, now: float) -> list[LoanConnection]:
        """Returns the connections that took too long to open."""
        return self._in_state_since(LoanState.OPENING, now - OPEN_TIMEOUT_S)

    def abandoned(self, now: float) -> list[LoanConnection]:
        """Returns the lent connections whose borrower is silent for long."""
        silent_since = now - SILENCE_TIMEOUT_S
        lent = self._in_state_since(LoanState.LENT, silent_since)
        return [conn for conn in lent if conn.heard_at < silent_since]

    def _in_state_since(
        self, state: LoanState, before: float
    ) -> list[LoanConnection]:
        return [
            conn
            for conn in self.connections.values()
            if conn.state is state and conn.state_since < before
        ]

    def active_count(self, now: float) -> int:
        """Returns how many slots of the upstream are occupied."""
        return sum(conn.is_active(now) for conn in self.connections.values())

    def _slots(self, now: float) -> schedule.Slots:
        running = collections.Counter(
            conn.loan.rank.order
            for conn in self.connections.values()
            if conn.loan is not None and conn.is_active(now)
        )
        return schedule.Slots(int(self.learned.limit), running)
