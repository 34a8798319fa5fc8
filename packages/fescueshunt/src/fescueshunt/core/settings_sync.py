"""Messages between proxies by which settings spread."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import peer

if TYPE_CHECKING:
    from fescueshunt.core import document, patch


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsDigest(peer.PeerMessage):
    """The sender's revision; `asks` wants the receiver's answer.

    Where the receiver's revision is higher the answer is a patch, or an offer
    where the sender's revision isn't kept; the receiver's digest otherwise.
    """

    revision: int
    asks: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsOffer(peer.PeerMessage):
    """The document that the sender has in force."""

    document: document.Document


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsPatch(peer.PeerMessage):
    """What the sender's document has more than the receiver's."""

    patch: patch.Patch
