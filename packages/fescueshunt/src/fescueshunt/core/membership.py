"""Messages of the failure detector and of gossip about fleet membership."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import peer

if TYPE_CHECKING:
    from fescueshunt.core import views


@dataclasses.dataclass(frozen=True, slots=True)
class Ping(peer.PeerMessage):
    """Requests an ack from `target`.

    Attributes:
      seq: the sequence number that the ack repeats.
      target: the name of the proxy that should answer.
      sender: the sender's own member record.
      digest: an 8-byte digest of the sender's member table.
      rumors: updated member records that the sender gossips.
    """

    seq: int
    target: str
    sender: views.Member
    digest: bytes = b""
    rumors: tuple[views.Member, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Ack(peer.PeerMessage):
    """The answer to a ping.

    Attributes:
      seq: the sequence number of the ping.
      sender: the sender's own member record.
      digest: an 8-byte digest of the sender's member table.
      rumors: updated member records that the sender gossips.
    """

    seq: int
    sender: views.Member
    digest: bytes = b""
    rumors: tuple[views.Member, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRequest(peer.PeerMessage):
    """Requests that the receiver pings `target` on behalf of the sender."""

    target: views.Member


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeReport(peer.PeerMessage):
    """Reports that `target` acked a ping sent on behalf of the receiver."""

    target: views.Member


@dataclasses.dataclass(frozen=True, slots=True)
class TableRequest(peer.PeerMessage):
    """Requests the receiver's complete member table."""


@dataclasses.dataclass(frozen=True, slots=True)
class TableReply(peer.PeerMessage):
    """The sender's complete member table."""

    members: tuple[views.Member, ...]
