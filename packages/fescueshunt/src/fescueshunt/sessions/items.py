"""Items of the sessions pipe, and the work that they carry."""

from __future__ import annotations

import dataclasses

from fescueshunt.core import (
    filters,
    position,
    ranks,
    routes,
    schedule,
    sessions,
)


@dataclasses.dataclass(slots=True, eq=False)
class Work(schedule.Job):
    """One statement of a client on its way to an upstream and back.

    Attributes:
      account: the client account that it is of.
      since_at: commits acknowledged by then concern it: when its first byte
        came, or that of its transaction.
      wait_s: how long it may wait to be sent, at each try.
      refuse_at: it is refused if it has not been sent by then.
      expire_at: its answer must be there by then.
      begin: the beginning of the transaction that this is the first of.
      in_transaction: whether it belongs to a transaction.
      read_only: whether its transaction promised not to write.
      needs_primary: whether only the primary may run it.
      own_commit: the position of the session's last commit, or None.
      avoid: upstreams that turned it away.
      sent: whether the statement itself was sent to an upstream.
    """

    client: int
    account: str
    statement: sessions.Statement
    route: routes.Route
    rank: ranks.Rank
    settings: sessions.SessionSettings
    prepared: sessions.Prepared | None
    arrived_at: float
    since_at: float
    wait_s: float
    refuse_at: float
    expire_at: float
    begin: sessions.Statement | None
    in_transaction: bool
    read_only: bool
    needs_primary: bool
    writes: bool
    own_commit: position.Position | None
    avoid: set[str] = dataclasses.field(default_factory=set)
    not_before: float = 0.0
    tries: int = 0
    sent: bool = False

    @property
    def caller(self) -> str:
        """Client accounts take turns."""
        return self.account

    @property
    def kind(self) -> tuple[str, int, bool, bool]:
        """Work of a rank that reads, writes or begins takes about as long."""
        database, order = self.route.database, self.rank.order
        return database, order, self.writes, self.opens

    @property
    def submitted_at(self) -> float:
        """When it arrived."""
        return self.arrived_at

    @property
    def deadline(self) -> float:
        """Until when it may wait."""
        return self.refuse_at

    @property
    def target_at(self) -> float:
        """When it must be answered to be worth its full value."""
        return self.arrived_at + self.rank.target_s

    @property
    def in_doubt(self) -> bool:
        """Never: what may have run does not wait again."""
        return False

    @property
    def opens(self) -> bool:
        """Whether it is the first of a transaction."""
        return self.begin is not None


@dataclasses.dataclass(frozen=True, slots=True)
class WorkOffered(filters.Item):
    """A statement that an upstream has to run."""

    work: Work


@dataclasses.dataclass(frozen=True, slots=True)
class WorkDone(filters.Item):
    """What became of a statement.

    Attributes:
      reply: the upstream's reply, or None.
      failure: why there is no success; None where the reply is one.
      upstream: which one ran it, "" for none.
    """

    work: Work
    reply: sessions.UpstreamReply | None
    failure: sessions.Failure | None
    detail: str
    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionDropped(filters.Item):
    """A client's transaction lost its connection while no statement ran."""

    client: int
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndTransaction(filters.Item):
    """Rolls back the client's transaction, as it asked to or as it left."""

    client: int
    statement: sessions.Statement | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadinessView(filters.Item):
    """Whether this host takes new sessions."""

    ready: bool
    reason: str
