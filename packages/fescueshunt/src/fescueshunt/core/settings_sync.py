"""Messages that synchronize the settings document between proxies."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import peer

if TYPE_CHECKING:
    from fescueshunt.core import document, patch


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsDigest(peer.PeerMessage):
    """The settings revision that the sender has in force.

    If `asks` is set, the receiver answers. With a higher revision it sends a
    patch, or an offer if it no longer keeps the sender's revision; otherwise it
    sends its own digest.

    Attributes:
      revision: the sender's revision.
      asks: whether the sender requests an answer.
    """

    revision: int
    asks: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsOffer(peer.PeerMessage):
    """The complete settings document that the sender has in force."""

    document: document.Document


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsPatch(peer.PeerMessage):
    """The changes from the receiver's revision to the sender's."""

    patch: patch.Patch
