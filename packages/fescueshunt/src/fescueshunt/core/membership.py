"""Messages by which proxies find out about each other."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import peer

if TYPE_CHECKING:
    from fescueshunt.core import views


@dataclasses.dataclass(frozen=True, slots=True)
class Ping(peer.PeerMessage):
    """Asks `target` for an ack.

    Attributes:
      seq: joins the ack to the ping.
      sender: the sender as it sees itself.
      digest: 8 bytes that sum up the sender's table of members.
      rumors: what the sender spreads about members.
    """

    seq: int
    target: str
    sender: views.Member
    digest: bytes = b""
    rumors: tuple[views.Member, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Ack(peer.PeerMessage):
    """Answers a ping."""

    seq: int
    sender: views.Member
    digest: bytes = b""
    rumors: tuple[views.Member, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRequest(peer.PeerMessage):
    """Asks the receiver to ping `target` on the sender's behalf."""

    target: views.Member


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeReport(peer.PeerMessage):
    """Says that `target` acked a ping sent on the receiver's behalf."""

    target: views.Member


@dataclasses.dataclass(frozen=True, slots=True)
class TableRequest(peer.PeerMessage):
    """Asks for the receiver's whole table of members."""


@dataclasses.dataclass(frozen=True, slots=True)
class TableReply(peer.PeerMessage):
    """The sender's whole table of members."""

    members: tuple[views.Member, ...]
