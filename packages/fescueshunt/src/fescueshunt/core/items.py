"""Input and output items of the proxy's pipes: sources and effects.

Sources enter the core from the network and the platform; effects leave it and
tell the runtime what to send, open or close.
"""

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
    """A request that arrived from a caller.

    Attributes:
      wall_s: the arrival time; seconds since the epoch.
      conn: the caller's connection.
      seq: the caller's number for the request, which the answer repeats.
      req: the request.
    """

    wall_s: float
    conn: int
    seq: int
    req: request.Request


@dataclasses.dataclass(frozen=True, slots=True)
class CallerClosed(filters.Item):
    """A caller's connection ended, so its open transactions are rolled back."""

    conn: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReceived(filters.Item):
    """A message arrived from the proxy `sender`."""

    sender: str
    message: peer.PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLost(filters.Item):
    """A connection to or from the proxy `name` ended.

    Messages in transit in either direction may be lost.
    """

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamOpened(filters.Item):
    """The connection `conn` to an upstream was opened."""

    conn: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReplied(filters.Item):
    """The reply to the only call in flight on connection `conn`."""

    conn: int
    reply: upstream.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamFailed(filters.Item):
    """The connection `conn` to an upstream failed or was closed."""

    conn: int
    error: errors.FescueshuntError


@dataclasses.dataclass(frozen=True, slots=True)
class ControlReplied(filters.Item):
    """The reply to a control call.

    Attributes:
      database: the name of the upstream's database.
      upstream: the name of the upstream.
      call: the call that is answered.
      sent_at: when the call was sent; seconds, monotonic.
      reply: the upstream's reply.
    """

    database: str
    upstream: str
    call: upstream.Call
    sent_at: float
    reply: upstream.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class ControlFailed(filters.Item):
    """A control call got no reply; the call may have taken effect."""

    database: str
    upstream: str
    call: upstream.Call
    error: errors.FescueshuntError


# Effects.


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerCaller(filters.Item):
    """Sends a caller the only answer to its request `seq`."""

    conn: int
    seq: int
    answer: request.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class SendPeer(filters.Item):
    """Sends a message to the proxy `name`.

    `address` is the address to connect to, or "" to use the one in the fleet
    view.
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
    """Sends a call on connection `conn`.

    The connection is closed if the upstream is silent for `timeout_s`, in
    seconds. `request_id` is the id of the request that the call belongs to, or
    empty.
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
    """Sends a control call to an upstream.

    Control calls are separate from the connections that run statements.
    """

    database: str
    upstream: str
    address: str
    call: upstream.Call
    timeout_s: float


# The platform's store and host list.


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """An entry of the platform's list of hosts.

    `leaving` is true if the platform marks the host as leaving.
    """

    name: str
    zone: str
    address: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsRead(filters.Item):
    """The document in the store, and its version; 0 if the store is empty."""

    document: document.Document
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsReadFailed(filters.Item):
    """Reading the document from the store failed."""

    error: errors.FescueshuntError


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsSwapped(filters.Item):
    """The store's answer to a `SwapSettings`.

    Attributes:
      operation: the operation id of the change.
      done: whether the store now holds the changed document.
      version: the version that the store now holds.
    """

    operation: bytes
    done: bool
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsSwapFailed(filters.Item):
    """A `SwapSettings` failed.

    Unless `error` is a `SettingsError`, the store may have made the change.
    """

    operation: bytes
    error: errors.FescueshuntError


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsAccepted(filters.Item):
    """A document that the store is known to have accepted."""

    document: document.Document


@dataclasses.dataclass(frozen=True, slots=True)
class HostsRead(filters.Item):
    """The platform's list of hosts, which may lag behind the actual state."""

    hosts: tuple[Host, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadSettings(filters.Item):
    """Reads the store when its version exceeds `above`, or after `wait_s`."""

    above: int
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SwapSettings(filters.Item):
    """Writes `document` to the store if the store's version is `expected`.

    `replaced`, the accepted document that it succeeds, is archived first.
    """

    document: document.Document
    expected: int
    replaced: document.Document


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBack(filters.Item):
    """Reads the store at once, to learn the outcome of `operation`."""

    operation: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BackRead(filters.Item):
    """The document that a `ReadBack` for `operation` found in the store."""

    operation: bytes
    document: document.Document


@dataclasses.dataclass(frozen=True, slots=True)
class ReadArchive(filters.Item):
    """Reads the archived document of `revision` on behalf of `operation`."""

    operation: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ArchiveRead(filters.Item):
    """The answer to a `ReadArchive`.

    If the archive no longer keeps the requested revision, the document is the
    later one that overwrote it.
    """

    operation: bytes
    document: document.Document


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReadFailed(filters.Item):
    """A `ReadBack` or `ReadArchive` for `operation` got no answer."""

    operation: bytes
    error: errors.FescueshuntError


# Operators.


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorAsked(filters.Item):
    """A statement that arrived from an operator.

    Attributes:
      wall_s: the arrival time; seconds since the epoch.
      conn: the operator's admin connection.
      seq: the operator's number for the statement, which the answer repeats.
      operator: the name of the operator whose token was verified.
      may_change: whether the operator's role permits changes.
      statement: the statement.
    """

    wall_s: float
    conn: int
    seq: int
    operator: str
    may_change: bool
    statement: statements.Statement


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerOperator(filters.Item):
    """Sends an operator the only answer to the statement `seq`."""

    conn: int
    seq: int
    answer: statements.OperatorAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHosts(filters.Item):
    """Requests the platform's list of hosts."""
