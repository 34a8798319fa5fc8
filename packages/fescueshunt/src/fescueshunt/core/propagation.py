"""Messages between proxies by which settings spread."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import peer

if TYPE_CHECKING:
    from fescueshunt.core import document


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsDigest(peer.PeerMessage):
    """The sender's revision; `asks` wants the receiver's answer.

    The answer is an offer where the receiver's revision is higher, and the
    receiver's own digest otherwise.
    """

    revision: int
    asks: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsOffer(peer.PeerMessage):
    """The document that the sender has in force."""

    document: document.Document
