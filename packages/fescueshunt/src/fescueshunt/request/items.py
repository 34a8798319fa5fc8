"""Items that the filters of the request pipe exchange.

The home proxy of an upstream holds its connection pool and its queue. The
entry proxy of a request is the one that received it from the caller.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from fescueshunt.core import (
    document,
    filters,
    peer,
    position,
    ranks,
    request,
    schedule,
)

if TYPE_CHECKING:
    from fescueshunt import errors


@dataclasses.dataclass(frozen=True, slots=True)
class CallerOrigin:
    """Identifies a request that a caller sent to this proxy.

    Attributes:
      conn: the id of the caller's connection.
      seq: the sequence number of the request on that connection.
    """

    conn: int
    seq: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerOrigin:
    """Identifies a request that another proxy forwarded.

    Attributes:
      name: the name of the forwarding proxy.
      seq: the sequence number that the forwarding proxy gave the request.
    """

    name: str
    seq: int


@dataclasses.dataclass(frozen=True, slots=True)
class BackgroundOrigin:
    """Marks a background task of this proxy, whose answer is discarded."""


Origin = CallerOrigin | PeerOrigin | BackgroundOrigin


@dataclasses.dataclass(frozen=True, slots=True)
class Work(filters.Item, schedule.Job):
    """An admitted request, with its routing state.

    Attributes:
      key: a number that is unique within this process.
      origin: who waits for the answer.
      req: the request as it was sent.
      service: the declared service that the request names.
      rank: the priority class of the service.
      deadline: when the request expires, in seconds of the local clock.
      upstream: the upstream that the forwarding proxy chose; "" if the request
        came from a caller.
      attempts: the number of attempts that have failed.
      excluded: the upstreams that routing must skip.
      suggested: the upstream that a home proxy named as the next one to try.
      in_doubt: whether an earlier attempt may have taken effect.
      error: why the last attempt failed; reported to the caller if there is no
        further attempt.
    """

    key: int
    origin: Origin
    req: request.Request
    service: document.Service
    rank: ranks.Rank
    deadline: float
    upstream: str = ""
    attempts: int = 0
    excluded: frozenset[str] = frozenset()
    suggested: str = ""
    in_doubt: bool = False
    error: errors.FescueshuntError | None = None

    @property
    def caller(self) -> str:
        """The caller name given in the request."""
        return self.req.caller

    @property
    def kind(self) -> tuple[str, request.Kind]:
        """The name of the service and the kind of the request."""
        return self.service.name, self.req.kind

    @property
    def submitted_at(self) -> float:
        """The arrival time, in seconds of the local clock."""
        return self.deadline - self.req.timeout_s


@dataclasses.dataclass(frozen=True, slots=True)
class ArrivedAtHome(filters.Item):
    """Work has reached the home proxy of the upstream chosen for it.

    `upstream` is "" for a statement of a transaction that is open on this
    proxy.
    """

    work: Work
    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class Assigned(filters.Item):
    """Work is assigned to `upstream` and needs a slot in its queue."""

    work: Work
    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class Started(filters.Item):
    """Work has a slot of `upstream` and may run on connection `conn`."""

    work: Work
    upstream: str
    conn: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionReleased(filters.Item):
    """Work no longer needs connection `conn`.

    `reusable` is whether the connection can go back to the pool; otherwise it
    is closed, since a transaction or reply may still be open on it.
    """

    conn: int
    reusable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RetryNeeded(filters.Item):
    """Work must be routed again after a failed attempt.

    Either the attempt did not run, or the ledger prevents a second execution.
    `work.error` is the reason, and `work.in_doubt` is whether an attempt may
    have run. `brief` is the newest group state known to this proxy.
    """

    work: Work
    brief: peer.GroupBrief | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnedToPeer(filters.Item):
    """A forwarded request goes back to the entry proxy without an answer.

    The fields have the same meaning as in `Work` and `RetryNeeded`.
    """

    origin: PeerOrigin
    request_id: bytes
    brief: peer.GroupBrief | None = None
    suggested: str = ""
    in_doubt: bool = False
    error: errors.FescueshuntError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Committed(filters.Item):
    """A write is committed at its primary but not yet acknowledged."""

    work: Work
    answer: request.Answer
    position: position.Position


@dataclasses.dataclass(frozen=True, slots=True)
class Answered(filters.Item):
    """Work has its final answer, `latency_s` seconds after it arrived.

    `transaction` is the id of the transaction it belongs to, or empty.
    `overdue` is whether the watchdog answers it; another answer may follow.
    """

    origin: Origin
    database: str
    rank: str
    answer: request.Answer
    latency_s: float = 0.0
    transaction: bytes = b""
    overdue: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded(filters.Item):
    """A request has left this proxy, answered or returned to a peer."""

    origin: Origin
    request_id: bytes
    transaction: bytes
    failed: bool


class TransactionSide(enum.StrEnum):
    """The role in which a proxy tracks a transaction: entry or home proxy."""

    ENTRY = "entry"
    HOME = "home"


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionOpened(filters.Item):
    """This proxy began to track a transaction in the role `side`."""

    side: TransactionSide
    transaction: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionEnded(filters.Item):
    """This proxy no longer tracks a transaction in the role `side`."""

    side: TransactionSide
    transaction: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionAbandoned(filters.Item):
    """A transaction must be rolled back, as its caller can't continue it.

    `entry` is the name of its entry proxy, "" for this proxy.
    """

    entry: str
    transaction: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerPurged(filters.Item):
    """A purge has deleted `rows` old rows from the ledger of `database`."""

    database: str
    rows: int
