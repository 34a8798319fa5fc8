"""Items at the mouth and the end of the pipes: sources and effects."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import (
    document,
    filters,
    peer,
    request,
    statements,
    upstream,
)

if TYPE_CHECKING:
    from fescueshunt import errors

# Sources.


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest(filters.Item):
    """A caller's request, as it came in on connection `conn`."""

    wall_s: float
    conn: int
    seq: int
    req: request.Request


@dataclasses.dataclass(frozen=True, slots=True)
class CallerClosed(filters.Item):
    """A caller's connection ended; its open transactions roll back."""

    conn: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReceived(filters.Item):
    """A message of another proxy."""

    sender: str
    message: peer.PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLost(filters.Item):
    """A connection to or from another proxy ended.

    What was sent either way may be lost.
    """

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamOpened(filters.Item):
    """A connection to an upstream is open."""

    conn: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReplied(filters.Item):
    """The reply to the one call in flight on connection `conn`."""

    conn: int
    reply: upstream.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamFailed(filters.Item):
    """A connection to an upstream is closed, for whatever reason."""

    conn: int
    error: errors.FescueshuntError


@dataclasses.dataclass(frozen=True, slots=True)
class ControlReplied(filters.Item):
    """The reply to a control call that was sent at `sent_at`."""

    database: str
    upstream: str
    call: upstream.Call
    sent_at: float
    reply: upstream.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class ControlFailed(filters.Item):
    """A control call had no reply; it may have taken effect."""

    database: str
    upstream: str
    call: upstream.Call
    error: errors.FescueshuntError


# Effects.


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerCaller(filters.Item):
    """Sends a caller the one answer to its request."""

    conn: int
    seq: int
    answer: request.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class SendPeer(filters.Item):
    """Sends a message to the proxy `name`.

    `address` is where it listens; "" for the one in the fleet view.
    """

    name: str
    message: peer.PeerMessage
    address: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class OpenUpstream(filters.Item):
    """Opens connection `conn` to an upstream at `address`."""

    conn: int
    database: str
    upstream: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunUpstream(filters.Item):
    """Sends a call on connection `conn`; closed after `timeout_s` of silence.

    `request_id` is the id of the request it serves, empty for none.
    """

    conn: int
    call: upstream.Call
    timeout_s: float
    request_id: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class CloseUpstream(filters.Item):
    """Closes connection `conn`."""

    conn: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallControl(filters.Item):
    """Sends a control call to an upstream, beside its statements."""

    database: str
    upstream: str
    address: str
    call: upstream.Call
    timeout_s: float


# The platform's store and host list.


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """One entry of the platform's list of hosts."""

    name: str
    zone: str
    address: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsRead(filters.Item):
    """What the store holds: a document and its version, 0 for none."""

    document: document.Document
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsReadFailed(filters.Item):
    """The store didn't say what it holds."""

    error: errors.FescueshuntError


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsSwapped(filters.Item):
    """The store's answer to a change; `done` if it is now in the store."""

    operation: bytes
    done: bool
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsSwapFailed(filters.Item):
    """The store gave no answer to a change; it may be in the store."""

    operation: bytes
    error: errors.FescueshuntError


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsAccepted(filters.Item):
    """A document that is known to be in the store."""

    document: document.Document


@dataclasses.dataclass(frozen=True, slots=True)
class HostsRead(filters.Item):
    """The proxies on the platform's list, as of some time ago."""

    hosts: tuple[Host, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadSettings(filters.Item):
    """Reads the store once its version is above `above`, or after `wait_s`."""

    above: int
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SwapSettings(filters.Item):
    """Puts `document` into the store if its version is `expected`.

    `replaced`, the accepted document before it, is put into the archive first.
    """

    document: document.Document
    expected: int
    replaced: document.Document


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBack(filters.Item):
    """Reads the store at once, to settle what became of `operation`."""

    operation: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BackRead(filters.Item):
    """What the store holds, read to settle `operation`."""

    operation: bytes
    document: document.Document


@dataclasses.dataclass(frozen=True, slots=True)
class ReadArchive(filters.Item):
    """Reads the archived document of `revision`, for `operation`."""

    operation: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ArchiveRead(filters.Item):
    """The document in the archive's place for the revision asked for.

    It is of a later revision where the archive keeps the asked one no more.
    """

    operation: bytes
    document: document.Document


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReadFailed(filters.Item):
    """A read for `operation` was not answered."""

    operation: bytes
    error: errors.FescueshuntError


# Operators.


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorAsked(filters.Item):
    """An operator's statement, on the admin connection `conn`.

    `operator` is the name that belongs to the token that was checked.
    """

    wall_s: float
    conn: int
    seq: int
    operator: str
    may_change: bool
    statement: statements.Statement


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerOperator(filters.Item):
    """Sends an operator the one answer to its statement."""

    conn: int
    seq: int
    answer: statements.OperatorAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHosts(filters.Item):
    """Reads the platform's list of hosts."""
