"""The items that the filters of the sessions pipe pass to each other."""

from __future__ import annotations

import dataclasses

from fescueshunt.core import (
    failures,
    filters,
    position,
    ranks,
    routes,
    schedule,
    sessions,
)


@dataclasses.dataclass(frozen=True, slots=True)
class StopStarted(filters.Item):
    """A graceful stop of this host has started.

    Attributes:
      since: when the grace period may have begun; local clock, seconds.
    """

    since: float


@dataclasses.dataclass(slots=True, eq=False)
class StatementJob(schedule.Job):
    """A client's statement, from its submission to its result.

    Times are seconds of the local clock.

    Attributes:
      client: the id of the client connection.
      account: the caller whose statements take turns with those of others: the
        client account, or the client's key if accounts are not in use.
      statement: the statement.
      route: the route that the statement runs under.
      rank: the scheduling rank of the route.
      settings: the session's values and prepared statements.
      prepared: the prepared statement to run, or None.
      arrived_at: when the statement arrived.
      read_started_at: when the first byte of the statement, or of the one that
        began its transaction, arrived. Reads must see all commits that were
        acknowledged at least the route's `max_age_s` earlier.
      max_wait_s: how long each attempt may wait in the queue.
      queue_deadline: the statement is rejected if it is not sent by then.
      answer_deadline: when the client must have its answer.
      begin_statement: the statement that began the transaction, if this is the
        first one to run in it; else None.
      in_transaction: whether it belongs to a transaction.
      read_only: whether its transaction was declared read-only.
      needs_primary: whether only the primary may run it.
      writes: whether it writes data.
      has_written: whether an earlier statement of its transaction wrote data.
      own_commit_position: the log position of the session's last commit, if
        the route makes a session's own commits visible to its reads; else
        None.
      avoided_upstreams: the upstreams that further attempts must not use,
        because an earlier one failed there.
      retry_at: the earliest time of the next attempt.
      attempts: how often it was assigned to a connection.
      statement_sent: whether the current attempt has sent the statement
        itself, and not only the calls that prepare the connection.
      connection_account: the client account of the connections that may run it;
        "" if it belongs to no account.
    """

    client: int
    account: str
    statement: sessions.Statement
    route: routes.Route
    rank: ranks.Rank
    settings: sessions.SessionSettings
    prepared: sessions.Prepared | None
    arrived_at: float
    read_started_at: float
    max_wait_s: float
    queue_deadline: float
    answer_deadline: float
    begin_statement: sessions.Statement | None
    in_transaction: bool
    read_only: bool
    needs_primary: bool
    writes: bool
    has_written: bool
    own_commit_position: position.Position | None
    avoided_upstreams: set[str] = dataclasses.field(default_factory=set)
    retry_at: float = 0.0
    attempts: int = 0
    statement_sent: bool = False
    connection_account: str = ""

    def limit_deadline(self, deadline: float) -> None:
        """Brings its deadlines forward to `deadline` if they are later."""
        self.answer_deadline = min(self.answer_deadline, deadline)
        self.queue_deadline = min(self.queue_deadline, deadline)

    @property
    def caller(self) -> str:
        """The client account; the schedule serves accounts in turn."""
        return self.account

    @property
    def kind(self) -> tuple[str, int, bool, bool]:
        """The key under which service times are averaged.

        Statements of the same rank on the same database take about as long if
        they agree in whether they write and whether they begin a transaction.
        """
        database, order = self.route.database, self.rank.order
        return database, order, self.writes, self.begins_transaction

    @property
    def submitted_at(self) -> float:
        """When the statement arrived."""
        return self.arrived_at

    @property
    def deadline(self) -> float:
        """The time until which the statement may wait in the queue."""
        return self.queue_deadline

    @property
    def target_at(self) -> float:
        """The time by which an answer meets the latency objective."""
        return self.arrived_at + self.rank.target_s

    @property
    def in_doubt(self) -> bool:
        """Always False: a statement that may have run is not queued again."""
        return False

    @property
    def begins_transaction(self) -> bool:
        """Whether it is the first statement to run in its transaction."""
        return self.begin_statement is not None

    @property
    def continues_transaction(self) -> bool:
        """Whether an earlier statement of its transaction has run."""
        return self.in_transaction and not self.begins_transaction


@dataclasses.dataclass(frozen=True, slots=True)
class JobSubmitted(filters.Item):
    """A client's statement is to run at an upstream."""

    job: StatementJob


@dataclasses.dataclass(frozen=True, slots=True)
class JobFinished(filters.Item):
    """A statement succeeded, failed or was rejected.

    Attributes:
      job: the statement.
      reply: the upstream's reply, or None if there is none.
      failure: why the statement failed; None if it succeeded.
      detail: a text about the failure, for logs and for the client.
      upstream: the id of the upstream of the last attempt; "" if the statement
        was rejected in the queue.
    """

    job: StatementJob
    reply: sessions.UpstreamReply | None
    failure: failures.Failure | None
    detail: str
    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionLost(filters.Item):
    """A client's transaction ended upstream while no statement was running.

    Its connection was lost, or the client exceeded the idle timeout.
    """

    client: int
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class RollBackTransaction(filters.Item):
    """A client's transaction is to be rolled back at its upstream.

    Attributes:
      client: the id of the client connection.
      statement: the client's rollback statement; None if the client did not
        ask for the rollback, for example because its session ended.
    """

    client: int
    statement: sessions.Statement | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadinessView(filters.Item):
    """Whether this host accepts new sessions.

    Attributes:
      ready: whether it accepts them.
      reason: why it does not; "" if it does.
    """

    ready: bool
    reason: str
