"""Items within the request pipe."""

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
    """The work came from a caller of this proxy."""

    conn: int
    seq: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerOrigin:
    """The work was forwarded by another proxy."""

    name: str
    seq: int


@dataclasses.dataclass(frozen=True, slots=True)
class BackgroundOrigin:
    """The work is this proxy's own; nobody waits for its answer."""


Origin = CallerOrigin | PeerOrigin | BackgroundOrigin


@dataclasses.dataclass(frozen=True, slots=True)
class Work(filters.Item, schedule.Job):
    """An admitted request on its way through the pipe.

    Attributes:
      key: unique within this process.
      deadline: local clock, seconds.
      upstream: the upstream that the sender chose, "" for a caller's work.
      attempts: how many upstreams were tried.
      avoid: upstreams that can't serve it.
      suggested: the upstream that a home named as the next to try.
      in_doubt: whether an earlier attempt may have run.
      error: why the last attempt ended; told when no attempt is left.
    """

    key: int
    origin: Origin
    req: request.Request
    service: document.Service
    rank: ranks.Rank
    deadline: float
    upstream: str = ""
    attempts: int = 0
    avoid: frozenset[str] = frozenset()
    suggested: str = ""
    in_doubt: bool = False
    error: errors.FescueshuntError | None = None

    @property
    def caller(self) -> str:
        """The caller as it names itself."""
        return self.req.caller

    @property
    def kind(self) -> tuple[str, request.Kind]:
        """Its service, and whether it reads or writes."""
        return self.service.name, self.req.kind

    @property
    def submitted_at(self) -> float:
        """When it arrived; local clock, seconds."""
        return self.deadline - self.req.timeout_s


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived(filters.Item):
    """Work at the home of the upstream that was chosen for it.

    `upstream` is "" for a statement of a transaction that is open here.
    """

    work: Work
    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class Placed(filters.Item):
    """Work that waits for a slot of `upstream` at this home."""

    work: Work
    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class Started(filters.Item):
    """Work that holds a slot of `upstream` and its connection `conn`."""

    work: Work
    upstream: str
    conn: int


@dataclasses.dataclass(frozen=True, slots=True)
class Released(filters.Item):
    """Work is done with its connection; `reusable` if nothing is open on it."""

    conn: int
    reusable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Retried(filters.Item):
    """Work that did not run, or that the ledger protects, to route again.

    `work.error` says why, `work.in_doubt` whether it may have run.
    """

    work: Work
    brief: peer.GroupBrief | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SentBack(filters.Item):
    """A peer's work that was not run here and goes back to it.

    The fields are those of `Work`.
    """

    origin: PeerOrigin
    request_id: bytes
    brief: peer.GroupBrief | None = None
    suggested: str = ""
    in_doubt: bool = False
    error: errors.FescueshuntError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Committed(filters.Item):
    """A write that its primary has committed, not yet acknowledged."""

    work: Work
    answer: request.Answer
    position: position.Position


@dataclasses.dataclass(frozen=True, slots=True)
class Finished(filters.Item):
    """Work with its final answer, `latency_s` seconds after it arrived.

    `transaction` is the transaction that it belonged to, empty for none.
    """

    origin: Origin
    database: str
    rank: str
    answer: request.Answer
    latency_s: float = 0.0
    transaction: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Ended(filters.Item):
    """Work has left this proxy, answered or sent back."""

    origin: Origin
    request_id: bytes
    transaction: bytes
    failed: bool


class Side(enum.StrEnum):
    """Where an open transaction is known: at its entry or at its home."""

    ENTRY = "entry"
    HOME = "home"


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionOpened(filters.Item):
    """A transaction is open on one side of it."""

    side: Side
    transaction: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionEnded(filters.Item):
    """A transaction is over on one side of it."""

    side: Side
    transaction: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Abandoned(filters.Item):
    """A transaction whose caller is gone; `entry` is the proxy it came by."""

    entry: str
    transaction: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Purged(filters.Item):
    """Old rows of a database's ledger were dropped."""

    database: str
    rows: int
