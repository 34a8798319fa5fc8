"""Models of the messages by which settings spread between proxies."""

from __future__ import annotations

from fescueshunt.core import propagation
from fescueshunt_wire.models import base, documents


class SettingsDigestModel(base.Model):
    """A revision."""

    of = propagation.SettingsDigest
    revision: base.Count
    asks: bool = False


class SettingsOfferModel(base.Model):
    """A document."""

    of = propagation.SettingsOffer
    document: documents.DocumentModel
