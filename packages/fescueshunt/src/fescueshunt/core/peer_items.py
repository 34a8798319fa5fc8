"""Items about the links between hosts.

A host opens a link to each host that it asks something, and gets the answers on
the same link. Messages on a link arrive in order, or the link ends.
"""

from __future__ import annotations

import dataclasses

from fescueshunt.core import filters

# The link of a host to itself: what it asks of itself needs no network.
OWN_LINK = 0


class PeerMessage:
    """A message between two hosts."""


# Events.


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAsked(filters.Item):
    """A host sent a message on a link that it has opened.

    Attributes:
      link: the id of the link on this host.
      host: the name of the host at the other end.
    """

    link: int
    host: str
    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLinkEnded(filters.Item):
    """A link that another host had opened has ended."""

    link: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAnswered(filters.Item):
    """A host answered on the link that this host has opened to it."""

    host: str
    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLost(filters.Item):
    """The link to a host has ended, or it could not be opened."""

    host: str


# Effects.


@dataclasses.dataclass(frozen=True, slots=True)
class ListenForPeers(filters.Item):
    """Accepts links of other hosts from now on."""


@dataclasses.dataclass(frozen=True, slots=True)
class AskPeer(filters.Item):
    """Sends a message on the link to a host, which is opened if necessary.

    Attributes:
      address: the host's address, as `IP:PORT`.
    """

    host: str
    address: str
    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerPeer(filters.Item):
    """Sends a message on a link that another host has opened."""

    link: int
    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class DropPeer(filters.Item):
    """Ends the link to a host, without sending what waits on it.

    A `PeerLost` follows, as for any link that ends.
    """

    host: str


def ask(
    own_name: str, host: str, address: str, message: PeerMessage, now: float
) -> filters.Item:
    """Returns the item that sends a message to a host, which may be this one.

    Args:
      own_name: the name of this host.
      host: the name of the other host.
      address: its address, as `IP:PORT`.
      message: the message.
      now: the current time; local clock, seconds.
    """
    if host == own_name:
        return PeerAsked(now, OWN_LINK, host, message)
    return AskPeer(now, host, address, message)


def answer(
    own_name: str, link: int, message: PeerMessage, now: float
) -> filters.Item:
    """Returns the item that answers on a link, which may be this host's own.

    Args:
      own_name: the name of this host.
      link: the id of the link on which the host asked.
      message: the message.
      now: the current time; local clock, seconds.
    """
    if link == OWN_LINK:
        return PeerAnswered(now, own_name, message)
    return AnswerPeer(now, link, message)
