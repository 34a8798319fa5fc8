"""Items of the front end that holds sessions: sources, effects, decisions."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, position, replica_sets, sessions

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fescueshunt import errors

KEY_PREFIX = "fescueshunt/"
HOSTS_PREFIX = KEY_PREFIX + "hosts/"
VOTES_PREFIX = KEY_PREFIX + "votes/"
DUTY_KEY = KEY_PREFIX + "failover"
LEASE_TTL_S = 1.2

# Sources: clients.


@dataclasses.dataclass(frozen=True, slots=True)
class SessionOpened(filters.Item):
    """Client connection `client` starts a session under the name `route`."""

    client: int
    route: str


@dataclasses.dataclass(frozen=True, slots=True)
class StatementReceived(filters.Item):
    """A statement of an open session; one is in flight at a time."""

    client: int
    statement: sessions.Statement


@dataclasses.dataclass(frozen=True, slots=True)
class SessionClosed(filters.Item):
    """The client ended its session, or its connection was lost."""

    client: int


# Sources: upstreams.


@dataclasses.dataclass(frozen=True, slots=True)
class LinkOpened(filters.Item):
    """The connection `link` to an upstream is open."""

    link: int


@dataclasses.dataclass(frozen=True, slots=True)
class LinkReplied(filters.Item):
    """The reply to the one call in flight on `link`."""

    link: int
    reply: sessions.UpstreamReply


@dataclasses.dataclass(frozen=True, slots=True)
class LinkFailed(filters.Item):
    """A connection to an upstream ended, or was never opened.

    `refusal` says why the upstream turned it away, if it said so.
    """

    link: int
    error: errors.FescueshuntError
    refusal: sessions.Failure | None = None


# Sources: the platform's store and the process.


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesListed(filters.Item):
    """All upstreams that the platform's store lists now."""

    entries: tuple[replica_sets.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryChanged(filters.Item):
    """An upstream's entry was written."""

    entry: replica_sets.Entry


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRemoved(filters.Item):
    """An upstream's entry was removed, or can't be read any more."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeysListed(filters.Item):
    """Every key of this system in the store, as of `revision`."""

    keys: Mapping[str, StoredKey]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyChanged(filters.Item):
    """A key of this system was written; None: it was removed."""

    key: str
    stored: StoredKey | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoredKey:
    """The content of a key of this system.

    Attributes:
      value: as its writer wrote it.
      revision: the store's revision at its last change; it only grows.
      lease: the lease that it ends with, 0 for none.
    """

    value: str
    revision: int
    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGranted(filters.Item):
    """The store granted a lease, or renewed it.

    Attributes:
      asked_at: when the call was sent; it holds for `ttl_s` from then at least.
    """

    lease: int
    asked_at: float
    ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseLost(filters.Item):
    """The lease has ended."""

    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseUnanswered(filters.Item):
    """A call for a lease had no answer; 0: it was to be granted."""

    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyWritten(filters.Item):
    """The answer to a `WriteKey`.

    Attributes:
      done: True, False if the condition did not hold, None if unknown.
      revision: of the write if it was done.
    """

    key: str
    done: bool | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRead(filters.Item):
    """The answer to a `ReadKey`; `answered` is False if there was none."""

    key: str
    asked_at: float
    answered: bool
    stored: StoredKey | None


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionAnswered(filters.Item):
    """The answer to a `CallPromotion`; None: unknown whether it was done."""

    database: str
    upstream: str
    done: bool | None
    detail: str


# Effects: clients.


@dataclasses.dataclass(frozen=True, slots=True)
class WelcomeSession(filters.Item):
    """Tells a client that its session is open."""

    client: int


@dataclasses.dataclass(frozen=True, slots=True)
class RejectSession(filters.Item):
    """Tells a client why its session does not open, and closes."""

    client: int
    failure: sessions.Failure
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerSession(filters.Item):
    """Sends a client the answer to its one statement in flight."""

    client: int
    statement_id: str
    answer: sessions.SessionAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class CloseSession(filters.Item):
    """Closes a client's connection."""

    client: int


# Effects: upstreams.


@dataclasses.dataclass(frozen=True, slots=True)
class OpenLink(filters.Item):
    """Opens a connection to an upstream."""

    link: int
    entry: replica_sets.Entry


@dataclasses.dataclass(frozen=True, slots=True)
class CallLink(filters.Item):
    """Sends a call on an open connection."""

    link: int
    call: sessions.UpstreamCall


@dataclasses.dataclass(frozen=True, slots=True)
class CloseLink(filters.Item):
    """Closes a connection to an upstream."""

    link: int


# Effects: the platform's store and its calls.


@dataclasses.dataclass(frozen=True, slots=True)
class AskLease(filters.Item):
    """Asks the store for a lease of `ttl_s` seconds."""

    ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RenewLease(filters.Item):
    """Renews a lease."""

    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndLease(filters.Item):
    """Ends a lease, and with it every key that it holds."""

    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteKey(filters.Item):
    """Writes a key.

    Attributes:
      value: what to write; None removes the key.
      lease: the lease that the key ends with, 0 for none.
      expected: the revision that the key must have, 0 for no such key; None
        writes whatever it is.
    """

    key: str
    value: str | None
    lease: int
    expected: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadKey(filters.Item):
    """Reads a key as it is now."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallPromotion(filters.Item):
    """Has the platform promote an upstream.

    Attributes:
      holder: the host that has the duty.
      token: a number that grows with each change of holder.
    """

    database: str
    upstream: str
    holder: str
    token: int


# Between pipes.


@dataclasses.dataclass(frozen=True, slots=True)
class AskUpstream(filters.Item):
    """Sends a call of our own to an upstream, on any of our connections.

    A `deadline` bounds the wait for a connection and for the reply.
    """

    upstream: str
    call: sessions.UpstreamCall
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAnswered(filters.Item):
    """What became of an `AskUpstream`.

    Attributes:
      asked_at: when the call was sent.
      reply: the reply, or None.
      refused: whether the upstream is known not to be there any more.
      sent: False if no connection was free though the upstream is alive.
    """

    upstream: str
    call: sessions.UpstreamCall
    asked_at: float
    reply: sessions.UpstreamReply | None
    refused: bool = False
    sent: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamHeard(filters.Item):
    """An upstream answered a statement.

    Attributes:
      sent_at: when the statement was sent.
      applied: the log position that the upstream had applied, or None.
      wrote: whether it was a write or a commit.
    """

    upstream: str
    sent_at: float
    applied: position.Position | None
    wrote: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSuspected(filters.Item):
    """An upstream is slow to answer, or a connection to it was lost.

    `write_since` is when a write was sent that is still unanswered, or None.
    """

    upstream: str
    reason: str
    write_since: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmationWanted(filters.Item):
    """A statement needs a database's primary, and none is confirmed."""

    database: str


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseView(filters.Item):
    """The lease of this host; 0 for none.

    Attributes:
      valid_until: until then it certainly holds, and this host is known to all
        others as one whose acknowledgement counts; 0.0 otherwise.
      ttl_s: how long a lease holds, by the store's own word.
    """

    lease: int
    valid_until: float
    ttl_s: float = LEASE_TTL_S


@dataclasses.dataclass(frozen=True, slots=True)
class LiveHostsView(filters.Item):
    """The live hosts of the system, this one among them."""

    names: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Decided(filters.Item):
    """A decision, for the log.

    Attributes:
      event: what was decided.
      statement_id: the statement that it touches, "" for none.
      details: what decided it, with ages in seconds.
    """

    event: str
    statement_id: str
    details: Mapping[str, object]
