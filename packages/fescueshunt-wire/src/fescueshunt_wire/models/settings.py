"""Models of the messages by which settings spread between proxies."""

from __future__ import annotations

from fescueshunt.core import patch, propagation
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


class DroppedModel(base.Model):
    """An entry that is gone."""

    of = patch.Dropped
    kind: base.Name
    name: base.Name


class PatchModel(base.Model):
    """What changed."""

    of = patch.Patch
    base: base.Count
    changed: documents.DocumentModel
    dropped: tuple[DroppedModel, ...] = ()


class SettingsPatchModel(base.Model):
    """A patch."""

    of = propagation.SettingsPatch
    patch: PatchModel
