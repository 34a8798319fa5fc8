"""The state of one client's session."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import accounts, sessions
from fescueshunt.sessions import steps

if TYPE_CHECKING:
    from fescueshunt.core import position, routes
    from fescueshunt.sessions import items


@dataclasses.dataclass(slots=True)
class Session:
    """A client's session.

    Attributes:
      route: the name of the route that the client asked for.
      key: the digest of the key that the client stated.
      values: the session values by name; a value is never removed.
      begin_statement: the statement that began the transaction.
      began_at: when that statement arrived; local clock, seconds.
      transaction_route: the route in force when the transaction began.
      transaction_account: the account that the key identified at that time.
      begun_upstream: whether the transaction has begun at an upstream.
      has_written: whether the transaction has sent a write to an upstream.
      last_commit: the log position of the last commit, or None.
      opened_at: when it was opened; local clock, seconds.
      job: the statement in flight, or None.
      is_broken: whether a statement was lost, so that no other can run.
    """

    client: int
    route: str
    key: accounts.KeyDigest = accounts.NO_KEY
    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: dict[str, sessions.Prepared] = dataclasses.field(
        default_factory=dict
    )
    state: sessions.TransactionState = sessions.TransactionState.IDLE
    begin_statement: sessions.Statement | None = None
    began_at: float = 0.0
    transaction_route: routes.Route | None = None
    transaction_account: str = ""
    read_only: bool = False
    begun_upstream: bool = False
    has_written: bool = False
    last_commit: position.Position | None = None
    opened_at: float = 0.0
    job: items.StatementJob | None = None
    is_broken: bool = False

    def record_success(
        self, job: items.StatementJob, reply: sessions.UpstreamReply
    ) -> None:
        """Records that `job` succeeded with `reply`."""
        if job.statement.verb is sessions.Verb.COMMIT:
            self.state = sessions.TransactionState.IDLE
            self.begun_upstream = False
        elif job.in_transaction:
            self.begun_upstream = True
        if steps.commits_changes(job) and not job.read_only:
            self.last_commit = reply.applied

    def record_failure(self, statement: sessions.Statement) -> None:
        """Records that `statement` of the open transaction failed."""
        if statement.verb is sessions.Verb.COMMIT:
            self.state = sessions.TransactionState.IDLE
        else:
            self.state = sessions.TransactionState.FAILED
